#pragma once

#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/fwd.hpp>
#include <azurelb/operations/fwd.hpp>

#include <string>
#include <vector>

namespace azurelb {

namespace wire {
class change;
class vm_list;
} // namespace wire

/** What can be said of a change of a zone before it is made. */
struct zone_check
{
    change_error error{change_error::none};
    std::string detail{};
    /** The budgets that a forced change breaks, one line each. */
    std::vector<std::string> costs{};
};

/**
 * Refuses to take out a zone that no VM and no earlier change names, or one whose loss breaks an
 * availability budget unless the change is forced. Other changes pass. The list may be null.
 */
[[nodiscard]] zone_check checkZoneChange(const wire::change &change, const config_view &config,
                                         const fleet_view &fleet, const wire::vm_list *list);

} // namespace azurelb
