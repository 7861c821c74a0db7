#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/job_record.hpp>
#include <azurelb/jobs/job_state.hpp>
#include <azurelb/jobs/number_set.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/scheduling/former_run.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace azurelb {

/** State of a task of an open job. */
struct task_entry
{
    bool done{false};
    /** A run of the task may exist; the executor's assignment has the details. */
    bool assigned{false};
    /** Runs that failed; empty for long-running tasks. */
    std::vector<run_number> failedRuns{};
    /** Highest number of a run that has ended. */
    run_number lastEndedRun{0};
    /** Executor of the last failed run; the next run avoids it if possible. */
    executor_id lastFailedOn{};
    /** Runs that were stopped as stalled. Not stored. */
    std::uint32_t stalledRuns{0};
    /** Its last run that this owner has known of and that has been given up or has ended. Not
        stored. */
    former_run former{};
    /** Last saved checkpoint; empty for none. The first task of a gang has that of the gang. */
    std::string checkpoint{};
    /** Run that saved it; 0 if this owner has read it from the store. */
    run_number checkpointRun{0};
    executor_id executor{};
};

/** State of one step of an occurrence. */
struct step_entry
{
    std::vector<task_entry> tasks{};
    std::uint32_t done{0};
    std::uint32_t assigned{0};
    /** All steps that it depends on are done. */
    bool open{false};
};

/** State of one occurrence of a job. */
struct occurrence_entry
{
    std::uint32_t number{0};
    boot_time due{};
    std::vector<step_entry> steps{};
    std::uint32_t stepsDone{0};
    /** Sum of the estimates on the longest path through the steps that are not done. */
    std::chrono::milliseconds remainingPath{0};
};

/** State of an accepted job. */
struct job_entry
{
    job_record record{};
    job_state state{job_state::pending};
    bool cancelled{false};
    /** A run of it may have begun. */
    bool mayHaveBegun{false};
    /** Accepted before this owner took over: runs of an earlier owner may exist. */
    bool inherited{false};
    boot_time acceptedAt{};
    boot_time endedAt{};
    /** Open occurrences by their numbers: those that have become due and are not complete, as far
        as the limit on open occurrences allows. */
    std::vector<occurrence_entry> occurrences{};
    /** All occurrences with lower numbers have been opened. */
    std::uint32_t nextOccurrence{0};
    number_set completedOccurrences{};
    /** Differs from the stored progress. */
    bool dirty{false};
    /** Revision of the stored progress; 0 for none. */
    store_revision storedRevision{0};
    /** Sum of the estimates on the longest path through the steps. */
    std::chrono::milliseconds criticalPath{0};
    /** From the queue: number of failed runs of a task at which the job fails; 0 for no limit. */
    std::uint32_t maxAttempts{0};
    /** From the queue: lower values are scheduled first. */
    std::int32_t priority{0};
    /** Target time from acceptance, or from the due time of an occurrence, to completion. */
    std::chrono::milliseconds objective{0};
    /** Estimated processor time of the steps that are not long-running, in core-milliseconds. */
    double shortWorkCoreMs{0};
    /** A step of it is a gang. */
    bool hasGang{false};
    /** Positions among the open jobs of the job table, and among those of its pool. */
    std::size_t openIndex{0};
    std::size_t poolIndex{0};
};

} // namespace azurelb
