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

/** The daemon's validated settings. */
struct settings
{
    vm_id vm{};
    zone_name zone{};
    severity minSeverity{severity::info};
    caller_options callers{};
    connection_options connections{};
    std::string operatorListen{};
    std::string peerListen{};
    /** Peers in addition to the entry VMs of the platform's list. */
    std::vector<peer_setting> peers{};
    std::vector<std::string> storeEndpoints{};
    std::string platformEndpoint{};
    std::vector<operator_setting> operators{};
    /** Number of daemons in the whole installation; a majority is more than half of it. */
    std::size_t entryVms{};
    /** Longest time without a confirmed view during which a daemon starts work. */
    std::chrono::milliseconds freshness{};
    /** Time from "not ready" to closing the listeners, so that the load balancer notices. */
    std::chrono::milliseconds drainDelay{};
};

} // namespace azurelb
