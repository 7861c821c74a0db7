#pragma once

#include <azurelb_cli/command.hpp>

namespace azurelb::cli {

// Commands that change the configuration, and submit. A change carries an id made here, so that
// asking several daemons for it makes it at most once.

void setPool(const daemon_client &client, const command_words &arguments);
void removePool(const daemon_client &client, const command_words &arguments);
void setQueue(const daemon_client &client, const command_words &arguments);
void removeQueue(const daemon_client &client, const command_words &arguments);
void setTarget(const daemon_client &client, const command_words &arguments);
void setTeam(const daemon_client &client, const command_words &arguments);
void removeTeam(const daemon_client &client, const command_words &arguments);
void createKey(const daemon_client &client, const command_words &arguments);
void withdrawKey(const daemon_client &client, const command_words &arguments);
void takeZoneOutOfService(const daemon_client &client, const command_words &arguments);
void returnZoneToService(const daemon_client &client, const command_words &arguments);
void setPreferences(const daemon_client &client, const command_words &arguments);
void startWave(const daemon_client &client, const command_words &arguments);
void resumeWave(const daemon_client &client, const command_words &arguments);
void stopWave(const daemon_client &client, const command_words &arguments);
void orderMove(const daemon_client &client, const command_words &arguments);
void submitRequest(const daemon_client &client, const command_words &arguments);

} // namespace azurelb::cli
