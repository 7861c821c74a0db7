#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/job_record.hpp>
#include <azurelb/jobs/job_state.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <string>
#include <vector>

namespace azurelb {

/** A task of an open job. */
struct task_entry
{
    bool done{false};
    /** A run of it may exist; the executor's assignment tells more. */
    bool assigned{false};
    /** Runs that ended by a failure; empty for long-running tasks. */
    std::vector<run_number> failedRuns{};
    /** Highest run that has ended. */
    run_number lastEndedRun{0};
    /** Executor of the last run that failed; the next one goes elsewhere if it can. */
    executor_id lastFailedOn{};
    std::string checkpoint{};
    executor_id executor{};
};

/** One step of one occurrence. */
struct step_entry
{
    std::vector<task_entry> tasks{};
    std::uint32_t done{0};
    std::uint32_t assigned{0};
    /** All steps that it follows are done. */
    bool open{false};
};

/** The steps of one occurrence. */
struct occurrence_entry
{
    std::uint32_t number{0};
    boot_time due{};
    std::vector<step_entry> steps{};
    std::uint32_t stepsDone{0};
};

/** An accepted job. */
struct job_entry
{
    job_record record{};
    job_state state{job_state::pending};
    bool cancelled{false};
    /** Accepted before this owner began: runs of an earlier owner may exist. */
    bool inherited{false};
    boot_time acceptedAt{};
    boot_time endedAt{};
    /** Occurrences that have come due and are not complete. */
    std::vector<occurrence_entry> occurrences{};
    std::uint32_t occurrencesOpened{0};
    std::vector<std::uint32_t> completedOccurrences{};
    /** Differs from what the store holds. */
    bool dirty{false};
    /** Revision of the stored progress; 0 for none. */
    store_revision storedRevision{0};
    /** Longest chain of estimates through the steps. */
    std::chrono::milliseconds criticalPath{0};
    /** Of the queue: failed runs of a task that fail the job, 0 for no bound. */
    std::uint32_t maxAttempts{0};
    /** Of the queue: 0 is served first. */
    std::int32_t priority{0};
    /** Time from the acceptance, or from the due time of an occurrence, to the intended end. */
    std::chrono::milliseconds objective{0};
    /** Processor time of the steps that are not long-running, in core-milliseconds. */
    double shortWorkCoreMs{0};
};

} // namespace azurelb
