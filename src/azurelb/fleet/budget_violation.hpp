#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A pool whose availability budget a change would exceed. */
struct budget_violation
{
    pool_name pool{};
    /** Members that would be unavailable, and their maximum. */
    std::uint32_t unavailable{};
    std::uint32_t maxUnavailable{};
    /** Members that would be available, and their minimum. */
    std::uint32_t available{};
    std::uint32_t minAvailable{};
};

/** Returns one line for operators with the counts and limits. */
[[nodiscard]] std::string toString(const budget_violation &violation);

/**
 * Returns the pools whose budgets would be exceeded if the zone were taken out of service. A pool
 * without available VMs in the zone is not included, even if its budget is already exceeded.
 */
[[nodiscard]] std::vector<budget_violation>
findZoneOutViolations(const wire::config_document &config, const wire::fleet_document &fleet,
                      const wire::vm_list &list, const zone_name &zone);

} // namespace azurelb
