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

/** Result of checking a change of a zone before it is committed. */
struct zone_check
{
    change_error error{change_error::none};
    std::string detail{};
    /** The availability budgets that the change violates, one line each. */
    std::vector<std::string> costs{};
};

/**
 * Refuses to withdraw a zone that no VM and no earlier change names, and, unless the change is
 * forced, a zone whose withdrawal violates an availability budget. Allows all other changes. The
 * list may be null.
 */
[[nodiscard]] zone_check checkZoneChange(const wire::change &change, const config_view &config,
                                         const fleet_view &fleet, const wire::vm_list *list);

} // namespace azurelb
