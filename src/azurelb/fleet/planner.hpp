#pragma once

#include <azurelb/fleet/fleet_options.hpp>
#include <azurelb/fleet/plan_input.hpp>
#include <azurelb/fleet/plan_result.hpp>
#include <azurelb/fleet/planner_history.hpp>

namespace azurelb {

/**
 * Plans the fleet: pools, drains, reboots, moves. It reads no clock and starts nothing; what it
 * decides holds only once the document of the step has replaced the one that it was planned with.
 */
class planner
{
public:
    explicit planner(const fleet_options &options)
        : m_options{options}
    { }

    /** The next step. It is empty if the list of VMs is too old to plan with. */
    [[nodiscard]] plan_result plan(const plan_input &input);

private:
    fleet_options m_options;
    planner_history m_history{};
};

} // namespace azurelb
