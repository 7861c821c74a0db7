#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <chrono>
#include <compare>
#include <cstdint>

namespace azurelb {

/** Facts about a step with waiting tasks that decide when it is placed. */
struct waiting_facts
{
    bool longRunning{false};
    /** From the queue: lower values are placed first. */
    std::int32_t priority{0};
    /** A step of its occurrence is done, or a task of this step has been assigned. */
    bool started{false};
    /** When its occurrence became due. */
    boot_time due{};
    /** Number of later occurrences of its job that are due as well. */
    std::uint32_t laterDue{0};
    /** Time between the expected completion of the remaining critical path and the objective. */
    std::chrono::milliseconds slack{0};
};

/** Place of a step in the order of placement; the lowest rank is placed first. */
struct waiting_rank
{
    /** Of late steps only. */
    std::uint32_t laterDue{0};
    bool late{false};
    bool shortRunning{false};
    std::int32_t priority{0};
    bool notStarted{false};
    std::chrono::milliseconds key{0};

    [[nodiscard]] auto operator<=>(const waiting_rank &) const = default;
};

/**
 * Returns the rank of a step.
 *
 * Load pattern: a queue asks for five times its mean, more than its pool holds, so that not all
 * jobs can meet their objective. Long-running tasks are placed first, then by priority. Of equal
 * priority, jobs that have started go before new ones, by their slack; new ones by the order. Jobs
 * that have missed their objective go last, as completing them late is worth little to their
 * callers. Among them, those of jobs with fewer occurrences due come first: a job may have any
 * number of overdue occurrences.
 */
[[nodiscard]] waiting_rank rankOf(const waiting_facts &facts, queue_order order);

} // namespace azurelb
