#pragma once

#include <azurelb/fleet/fleet_options.hpp>
#include <azurelb/fleet/plan_input.hpp>
#include <azurelb/fleet/plan_result.hpp>
#include <azurelb/fleet/planner_history.hpp>

namespace azurelb {

/**
 * Plans the fleet: pools, drains, reboots and moves. It reads no clock and performs no actions. A
 * result takes effect only when its document replaces the one that it was planned with.
 */
class planner
{
public:
    explicit planner(const fleet_options &options)
        : m_options{options}
    { }

    /** Returns the next step, which is empty if the list of VMs is older than maxListAge. */
    [[nodiscard]] plan_result plan(const plan_input &input);

private:
    fleet_options m_options;
    planner_history m_history{};
};

} // namespace azurelb
