#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/resources.hpp>
#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A step with long-running tasks on a VM. */
struct long_running_step
{
    /** Identifier of the step; its task index is 0. */
    task_id step{};
    /** Number of its tasks that may be unavailable at once, at least 1. */
    std::uint32_t maxUnavailable{1};
};

/** State of one VM as the planners use it. */
struct vm_view
{
    std::string vm{};
    std::string pool{};
    std::string zone{};
    executor_id executor{};
    resources capacity{};
    /** The platform lists it as up, and its executor responds or it is in the standby pool. */
    bool up{false};
    /** Its zone is being evacuated, or the VM is draining. */
    bool excluded{false};
    /** An order for it is in progress, or its last one has not taken effect yet. */
    bool hasPendingOrder{false};
    /** It gets no new runs because its maintenance is planned. */
    bool reserved{false};
    std::size_t shortRuns{0};
    std::size_t longRuns{0};
    /** Distinct steps of the long runs. Filled only while a wave is open. */
    std::vector<long_running_step> steps{};
    /** Time since which it has had no run. */
    boot_time idleSince{};

    [[nodiscard]] bool isEmpty() const noexcept { return shortRuns == 0 && longRuns == 0; }
};

} // namespace azurelb
