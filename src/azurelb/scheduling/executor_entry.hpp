#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/executor_registration.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/stop_reason.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurelb {

/** Phase of a run on an executor, as far as the owner knows. */
enum class assignment_phase {
    /** The start order was sent; no answer yet. */
    requested,
    running,
    /** The answer to the start order was lost: the run may or may not exist. */
    unconfirmed,
    /** A stop order was sent. */
    stopping
};

/** A run and the resources that it reserves on an executor. */
struct assignment
{
    run_number run{0};
    assignment_phase phase{assignment_phase::requested};
    resources reserved{};
    std::string team{};
    /** Amount that counts against the team's limit. */
    resources teamUsage{};
    bool longRunning{false};
    /** See isSpread(). */
    bool spread{false};
    bool backfill{false};
    bool serving{false};
    std::chrono::milliseconds latencyTarget{0};
    /** Expected duration of the run. */
    std::chrono::milliseconds estimate{0};
    /** When the start order was sent. */
    boot_time requestedAt{};
    /** When the executor last confirmed the phase; reports requested later must list the run. */
    boot_time confirmedAt{};
    /** The executor's present incarnation has listed the run. */
    bool reported{false};
    bool stopConfirmed{false};
    /** The start order was not answered: an incarnation that has not reported yet may hold the run
        until then, under the longest lease. */
    boot_time unreportedLeaseEnd{};
    stop_reason stopReason{stop_reason::not_wanted};
    boot_time stopSentAt{};
    int progressPercent{0};
    /** When progressPercent last changed. */
    boot_time progressChangedAt{};
    /** See reported_run::reportedMetric. */
    std::int64_t reportedMetric{0};
    /** Share of the processor time that was last ordered, in percent. */
    int cpuSharePercent{100};
    boot_time cpuShareChangedAt{};
};

/** A run whose lease expired while its executor did not answer. */
struct lapsed_run
{
    task_id task{};
    run_number run{0};

    [[nodiscard]] bool operator==(const lapsed_run &) const = default;
};

/** A job that an executor has reported and that this owner has not read. */
struct unread_job
{
    job_id job{};
    boot_time reportedAt{};
};

/** Creates the assignment of a new run of a task of the step. */
[[nodiscard]] assignment makeAssignment(const job_entry &job, const job_step &step, run_number run);

/** State that the owner keeps about one incarnation of an executor. */
struct executor_entry
{
    executor_registration info{};
    std::string rack{};
    /** The store holds a registration of this incarnation. */
    bool registered{true};
    /** The store records that this owner may have runs here, so that its successor queries them. */
    bool ownershipRecorded{false};
    /** An earlier owner may have runs here. */
    bool inherited{false};
    /** The executor has answered this owner and therefore rejects orders of earlier ones. */
    bool contacted{false};
    /** A report has listed all of its runs and unacknowledged ends, and these have been applied. */
    bool fullyReported{false};
    /** Start time of the incarnation before this one; 0 if this owner knew none. */
    std::int64_t formerStartedUnixMs{0};
    /** Upper bound on the end of leases that were meant for a former incarnation and reached this
        one. Its clock began anew, so it shortens them to the longest term only. */
    boot_time formerLeaseEnd{};
    /** The last call to it failed. */
    bool unresponsive{false};
    /** Maintenance of its VM is imminent: it gets no new runs. */
    bool reservedForMaintenance{false};
    /** An open wave has yet to maintain its VM: other executors are preferred for long-running
        tasks. */
    bool maintenanceDue{false};
    /** The executor's clock in its last answer. */
    std::chrono::milliseconds clock{0};
    /** When that answer arrived. */
    boot_time clockReadAt{};
    /** Upper bound on the end of all leases granted by this owner and earlier ones; runs end by
        then unless a lease is renewed. */
    boot_time latestLeaseEnd{};
    /** Ends up to this sequence number have been applied to the jobs. */
    std::int64_t lastProcessedEnd{0};
    /** Ends up to this sequence number are stored, so that the executor may discard them. */
    std::int64_t lastStoredEnd{0};
    /** Ends up to this sequence number have been acknowledged in a call that was answered. */
    std::int64_t lastAcknowledgedEnd{0};
    std::unordered_map<task_id, assignment> assignments{};
    /** Sum over the assignments. */
    resources used{};
    /** Number of assignments of long-running tasks. */
    std::size_t longRuns{0};
    /** Numbers of assignments of the steps whose tasks are spread over executors, by stepOf(). */
    std::unordered_map<task_id, std::size_t> spreadRuns{};
    /** Runs that were given up when their lease expired. Their ends, reported later, count for
        nothing, as their tasks may have been started elsewhere. */
    std::vector<lapsed_run> lapsedRuns{};
    /** The owner can't tell yet whether these jobs exist. */
    std::vector<unread_job> unreadJobs{};
    /** The last report, while unreadJobs is not empty. */
    executor_report undecidedReport{};
    /** Consecutive jobs whose first failure happened here. */
    unsigned consecutiveFailures{0};
    job_id lastFailedJob{};
    /** The executor gets no new run before this time. */
    boot_time suspendedUntil{};
    /** Time since which it has had no assignment. */
    boot_time idleSince{};

    [[nodiscard]] resources free() const noexcept { return info.capacity - used; }
    /** Returns whether the executor has the label; each has the empty one. */
    [[nodiscard]] bool hasLabel(const std::string &label) const;
    /** Returns the number of assignments of a step whose tasks are spread. */
    [[nodiscard]] std::size_t countRunsOf(const task_id &step) const
    {
        const auto found = spreadRuns.find(step);
        return found == spreadRuns.end() ? 0 : found->second;
    }
    [[nodiscard]] std::size_t shortRuns() const noexcept { return assignments.size() - longRuns; }
};

/** Returns whether the start time, in Unix milliseconds, is known and differs from that of the
   known incarnation. */
[[nodiscard]] bool isOtherIncarnation(const executor_entry &known,
                                      std::int64_t startedUnixMs) noexcept;

} // namespace azurelb
