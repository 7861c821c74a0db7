#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/fleet/demand_tracker.hpp>
#include <azurelb/fleet/fwd.hpp>
#include <azurelb/wire/fleet.pb.h>

#include <string>
#include <unordered_map>

namespace azurelb {

/**
 * What one planner has seen over its steps, by its own monotonic clock. It is never shared: another
 * planner starts without it and waits longer, so every bound that must last at least its time does.
 */
class planner_history
{
    using start_times = std::unordered_map<std::string, time_point>;

public:
    /** Notes the documents of a new step. */
    void observe(const plan_input &input, const vm_index &list);

    /**
     * Time since this planner first saw the VM's present state; 0 if it has not seen it. A probing
     * VM that is absent or whose zone is out counts as just seen.
     */
    [[nodiscard]] duration timeInState(const wire::fleet_vm &vm) const;

    /** First moment at which this planner saw the VM's present state; the newest step if not. */
    [[nodiscard]] time_point inStateSince(const wire::fleet_vm &vm) const;

    /** Time for which every list showed the VM as gone. */
    [[nodiscard]] duration timeUnlisted(const std::string &vm) const;

    /** Time for which the VM was listed as live and no probe of it failed. */
    [[nodiscard]] duration timeHealthy(const std::string &vm) const;

    /** True once the condition has held at every step for the dwell time; it then starts anew. */
    [[nodiscard]] bool hasLasted(const std::string &condition, bool holds, duration holdTime);

    [[nodiscard]] demand_tracker &demand() noexcept { return m_demand; }

    /** True if a VM may return to the pool now, which is then noted. */
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
