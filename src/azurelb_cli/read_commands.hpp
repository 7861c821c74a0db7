#pragma once

#include <azurelb_cli/command.hpp>

namespace azurelb::cli {

// Read-only commands. Each prints a table, or JSON with --json.

void showStatus(const daemon_client &client, const command_words &arguments);
void listPools(const daemon_client &client, const command_words &arguments);
void listQueues(const daemon_client &client, const command_words &arguments);
void listTeams(const daemon_client &client, const command_words &arguments);
void listKeys(const daemon_client &client, const command_words &arguments);
void listZones(const daemon_client &client, const command_words &arguments);
void listWaves(const daemon_client &client, const command_words &arguments);
void listVms(const daemon_client &client, const command_words &arguments);
void showAudit(const daemon_client &client, const command_words &arguments);

} // namespace azurelb::cli
