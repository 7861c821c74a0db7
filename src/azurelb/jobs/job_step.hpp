#pragma once

#include <azurelb/jobs/resources.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** One step of a job: identical tasks that may run in parallel. */
struct job_step
{
    std::uint32_t taskCount{0};
    /** Resources that each task requests. */
    resources request{};
    /** Caller's estimate of the run time of one task. */
    std::chrono::milliseconds estimate{0};
    /** Indexes of earlier steps that must be done first. */
    std::vector<std::uint32_t> after{};
    /** All tasks run at the same time or none does. */
    bool gang{false};
    /** Tasks run slower when they are placed on several racks. */
    bool sameRack{false};
    /** Label that the executor must have; empty for any. */
    std::string requiredLabel{};
    /** Rack that holds the data; empty for any. */
    std::string preferredRack{};
    /** Maximum number of tasks of the step on one executor; 0 for no limit. */
    std::uint32_t maxPerExecutor{0};
    bool savesCheckpoints{false};
    /** Speculative copies of a task may run in parallel. */
    bool allowsCopies{false};
    /** Tasks run until the job is cancelled and are restarted whenever they end. */
    bool longRunning{false};
    std::string image{};
    /** Target of the tail latency of a serving task; 0 for none. */
    std::chrono::milliseconds latencyTarget{0};
    /** Uses only spare processor time: processors are not reserved. */
    bool backfill{false};
    /** Maximum number of tasks of the step that maintenance may make unavailable at a time. */
    std::uint32_t maxUnavailable{0};
    /** Whether maintenance must respect maxUnavailable. */
    bool limitsUnavailable{false};
};

/** Returns whether the number of the step's tasks on one executor matters. */
[[nodiscard]] constexpr bool isSpread(const job_step &step) noexcept
{
    return step.longRunning || step.maxPerExecutor != 0;
}

/** Resources that one task reserves on its executor. */
[[nodiscard]] constexpr resources reservation(const job_step &step) noexcept
{
    resources reserved = step.request;
    if (step.backfill)
        reserved.cpu = 0;
    return reserved;
}

} // namespace azurelb
