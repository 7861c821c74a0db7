#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A pool whose availability budget a change would break, and by how much. */
struct budget_violation
{
    pool_name pool{};
    /** Members that would be unavailable, and how many may be. */
    std::uint32_t unavailable{};
    std::uint32_t maxUnavailable{};
    /** Members that would be available, and how many must be. */
    std::uint32_t available{};
    std::uint32_t minAvailable{};
};

/** One line that tells an operator what the change costs. */
[[nodiscard]] std::string toString(const budget_violation &violation);

/**
 * Budgets that taking the zone out would break, by the documents and the list given. A pool that
 * has no available VM in the zone loses nothing and is not named, even if its budget is broken.
 */
[[nodiscard]] std::vector<budget_violation>
findZoneOutViolations(const wire::config_document &config, const wire::fleet_document &fleet,
                      const wire::vm_list &list, const zone_name &zone);

} // namespace azurelb
