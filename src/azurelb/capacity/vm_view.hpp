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
    /** Index is 0. */
    task_id step{};
    /** Its tasks that may be unavailable at a time, at least 1. */
    std::uint32_t maxUnavailable{1};
};

/** One VM as planned work sees it. */
struct vm_view
{
    std::string vm{};
    std::string pool{};
    std::string zone{};
    executor_id executor{};
    resources capacity{};
    /** The platform lists it as up, and its executor answers or it is in standby. */
    bool up{false};
    /** Its zone is evacuated or it leaves. */
    bool excluded{false};
    /** An order for it is under way, or its last one has not shown its effect. */
    bool hasPendingOrder{false};
    /** Maintenance of it is being prepared. */
    bool reserved{false};
    std::size_t shortRuns{0};
    std::size_t longRuns{0};
    /** Of the long runs, each step once. Filled while a wave is open. */
    std::vector<long_running_step> steps{};
    /** Since when it has had no run. */
    boot_time idleSince{};

    [[nodiscard]] bool isEmpty() const noexcept { return shortRuns == 0 && longRuns == 0; }
};

} // namespace azurelb
