#pragma once

#include <azurelb/jobs/resources.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** One step of a job: equal tasks that may run side by side. */
struct job_step
{
    std::uint32_t taskCount{0};
    /** What each task declares. */
    resources request{};
    /** Caller's rough estimate of one task's run time. */
    std::chrono::milliseconds estimate{0};
    /** Earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> after{};
    /** All tasks of a run work together or not at all. */
    bool gang{false};
    /** Tasks slow down when they are spread over several racks. */
    bool sameRack{false};
    /** Label the executor must carry; empty for any. */
    std::string requiredLabel{};
    /** Rack that holds the data; empty for any. */
    std::string preferredRack{};
    /** Most tasks of the step on one executor; 0 for no bound. */
    std::uint32_t maxPerExecutor{0};
    bool savesCheckpoints{false};
    /** Copies of a task may run in parallel. */
    bool allowsCopies{false};
    /** Runs until the job is cancelled and is restarted whenever it ends. */
    bool longRunning{false};
    std::string image{};
    /** Bound of the tail latency that a serving task owes its users; 0 for none. */
    std::chrono::milliseconds latencyTarget{0};
    /** Uses only capacity that others leave; its processors are not reserved. */
    bool backfill{false};
    /** Tasks of the step that planned work may make unavailable at the same time. */
    std::uint32_t maxUnavailable{0};
    /** Whether planned work must respect maxUnavailable. */
    bool limitsUnavailable{false};
};

/** What one task reserves on its executor. */
[[nodiscard]] constexpr resources reservation(const job_step &step) noexcept
{
    resources reserved = step.request;
    if (step.backfill)
        reserved.cpu = 0;
    return reserved;
}

} // namespace azurelb
