#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/log/severity.hpp>
#include <azurelb/request/caller_options.hpp>
#include <azurelb/settings/fwd.hpp>
#include <azurelb/settings/operator_setting.hpp>
#include <azurelb/settings/peer_setting.hpp>
#include <azurelb/upstream/connection_options.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace azurelb {

/** The daemon's settings after their checks. */
struct settings
{
    vm_id vm{};
    zone_name zone{};
    severity minSeverity{severity::info};
    caller_options callers{};
    connection_options connections{};
    std::string operatorListen{};
    std::string peerListen{};
    /** Peers beside the entry VMs of the platform's list. */
    std::vector<peer_setting> peers{};
    std::vector<std::string> storeEndpoints{};
    std::string platformEndpoint{};
    std::vector<operator_setting> operators{};
    /** Daemons of the whole installation; a majority is more than half of it. */
    std::size_t entryVms{};
    /** Longest time that a daemon starts work on an unconfirmed view. */
    std::chrono::milliseconds freshness{};
    /** Time between "not ready" and the end of listening, for the balancer to notice. */
    std::chrono::milliseconds drainDelay{};
};

} // namespace azurelb
