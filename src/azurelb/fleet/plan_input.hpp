#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/fleet/fwd.hpp>
#include <azurelb/fleet/queue_demand.hpp>
#include <azurelb/fleet/vm_observation.hpp>

#include <span>
#include <string>

namespace azurelb {

/** Input of one planning step. The referenced documents must outlive the step. */
struct plan_input
{
    const wire::config_document &config;
    revision configRevision{};
    const wire::fleet_document &fleet;
    const wire::vm_list &list;
    /** Time at which the list was requested. */
    time_point listRequestedAt{};
    std::span<const vm_observation> observations{};
    std::span<const queue_demand> demand{};
    time_point now{};
    wall_time wallNow{};
    /** Unique for each step of each process; prefix of the ids of the audit records. */
    std::string stepId{};
};

} // namespace azurelb
