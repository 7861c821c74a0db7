#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A pool whose availability budget a change would break, and by how much. */
struct broken_budget
{
    pool_name pool{};
    /** Members that would be unavailable, and how many may be. */
    std::uint32_t unavailable{};
    std::uint32_t unavailableBudget{};
    /** Members that would be available, and how many must be. */
    std::uint32_t available{};
    std::uint32_t minimum{};
};

/** One line that tells an operator what the change costs. */
[[nodiscard]] std::string toString(const broken_budget &broken);

/**
 * Budgets that taking the zone out would break, by the documents and the list given. A pool that
 * has no available VM in the zone loses nothing and is not named, even if its budget is broken.
 */
[[nodiscard]] std::vector<broken_budget> checkZoneOut(const wire::config_document &config,
                                                      const wire::fleet_document &fleet,
                                                      const wire::vm_list &list,
                                                      const zone_name &zone);

} // namespace azurelb
