#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/fleet/demand_tracker.hpp>
#include <azurelb/fleet/fwd.hpp>
#include <azurelb/wire/fleet.pb.h>

#include <string>
#include <unordered_map>

namespace azurelb {

/**
 * Times at which one planner first observed states and conditions, on its own monotonic clock. It
 * is not shared: another planner starts with an empty history and thus waits longer, never shorter,
 * than a minimum time requires.
 */
class planner_history
{
    using start_times = std::unordered_map<std::string, time_point>;

public:
    /** Updates the history with the input of a new step. */
    void observe(const plan_input &input, const vm_index &list);

    /**
     * Returns the time since this planner first observed the VM's current state, or 0 if it has
     * not. The time of a VM in the probing state does not run while it is absent or its zone is
     * out.
     */
    [[nodiscard]] duration timeInState(const wire::fleet_vm &vm) const;

    /** Returns when this planner first observed the VM's current state, or the time of the latest
        step if it has not. */
    [[nodiscard]] time_point inStateSince(const wire::fleet_vm &vm) const;

    /** Returns the time for which the VM has been missing from every list. */
    [[nodiscard]] duration timeUnlisted(const std::string &vm) const;

    /** Returns the time for which the VM has been listed as live without a failed probe. */
    [[nodiscard]] duration timeHealthy(const std::string &vm) const;

    /** Returns true once the condition has held at every step for holdTime, then starts over. */
    [[nodiscard]] bool hasLasted(const std::string &condition, bool holds, duration holdTime);

    [[nodiscard]] demand_tracker &demand() noexcept { return m_demand; }

    /** Returns whether the last return of a VM to the pool is at least the interval ago, and if so
        records a return now. */
    [[nodiscard]] bool tryReturn(const std::string &pool, duration interval);

private:
    struct seen_state
    {
        wire::vm_state state{};
        std::uint64_t sinceMs{};
        std::string pool{};
        time_point at{};
    };

    void keepStartTime(start_times &into, const start_times &earlier, const std::string &vm) const;
    [[nodiscard]] duration since(const start_times &all, const std::string &key) const;

    time_point m_now{};
    std::unordered_map<std::string, seen_state> m_states{};
    start_times m_unlisted{};
    start_times m_healthy{};
    start_times m_returns{};
    start_times m_conditions{};
    demand_tracker m_demand{};
};

} // namespace azurelb
