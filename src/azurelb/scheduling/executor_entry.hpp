#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/executor_registration.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/stop_reason.hpp>

#include <chrono>
#include <string>
#include <unordered_map>

namespace azurelb {

/** How far a run on an executor is known. */
enum class assignment_phase {
    /** The start was sent. */
    requested,
    running,
    /** The answer to the start was lost. */
    unconfirmed,
    /** A stop was ordered. */
    stopping
};

/** A run that holds room on an executor. */
struct assignment
{
    run_number run{0};
    assignment_phase phase{assignment_phase::requested};
    resources reserved{};
    std::string team{};
    /** What counts against the team's limit. */
    resources teamUsage{};
    bool longRunning{false};
    bool backfill{false};
    bool serving{false};
    std::chrono::milliseconds latencyTarget{0};
    /** When the start was sent. */
    boot_time requestedAt{};
    /** When the phase was confirmed; reports asked for later must show the run. */
    boot_time confirmedAt{};
    bool stopConfirmed{false};
    stop_reason stopReason{stop_reason::not_wanted};
    boot_time stopSentAt{};
    int progressPercent{0};
    /** When the percent last changed. */
    boot_time progressChangedAt{};
    std::int64_t reportedMetric{0};
    /** Share of the processor time last ordered. */
    int cpuSharePercent{100};
    boot_time cpuShareChangedAt{};
};

/** The assignment of a new run of the step's tasks. */
[[nodiscard]] assignment makeAssignment(const job_entry &job, const job_step &step, run_number run);

/** One life of an executor as its owner sees it. */
struct executor_entry
{
    executor_registration info{};
    std::string rack{};
    /** The store holds an entry of this life. */
    bool registered{true};
    /** The store knows that this owner may have runs here, so that a successor asks for them. */
    bool ownershipRecorded{false};
    /** An earlier owner may have runs here. */
    bool inherited{false};
    /** It has answered this owner, so that orders of an earlier one have no effect. */
    bool contacted{false};
    /** Its last call failed. */
    bool unresponsive{false};
    /** Planned work on its VM is near: it gets no new runs. */
    bool reservedForMaintenance{false};
    /** Its VM is still to be maintained by an open wave: long-running tasks go elsewhere. */
    bool maintenanceDue{false};
    /** The executor's clock at its last answer, and when that came. */
    std::chrono::milliseconds clock{0};
    boot_time clockReadAt{};
    /** No run started by this owner or an earlier one outlives this time, unless renewed. */
    boot_time latestLeaseEnd{};
    /** Ends up to this number have been taken over into the jobs. */
    std::int64_t lastProcessedEnd{0};
    /** Ends up to this number are in the store, so that the executor may forget them. */
    std::int64_t lastStoredEnd{0};
    std::unordered_map<task_id, assignment> assignments{};
    /** Sum over the assignments. */
    resources used{};
    /** Jobs in a row that failed here first. */
    unsigned consecutiveFailures{0};
    job_id lastFailedJob{};
    /** No new run before this time. */
    boot_time suspendedUntil{};
    /** Since when it has had no assignment. */
    boot_time idleSince{};

    [[nodiscard]] resources free() const noexcept { return info.capacity - used; }
};

} // namespace azurelb
