#pragma once

#include <azurelb/jobs/fwd.hpp>
#include <azurelb/jobs/job_state.hpp>
#include <azurelb/jobs/number_set.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** Stored progress of a task that has left its initial state. */
struct task_progress
{
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};
    bool done{false};
    /** Runs that failed; empty for long-running tasks. A list rather than a count, as executors may
        report failures in any order and more than once. */
    std::vector<run_number> failedRuns{};
    /** Highest number of a run whose end is included here. */
    run_number lastEndedRun{0};
    /** Last saved checkpoint; empty for none. */
    std::string checkpoint{};
};

/** Stored progress of a job. Only the state and the time of the end are kept once it is final. */
struct job_progress
{
    job_state state{job_state::pending};
    /** Occurrences whose tasks are all done; these tasks are not listed. */
    number_set completedOccurrences{};
    std::vector<task_progress> tasks{};
    /** When the job ended, in Unix time; 0 if it has not, or if an earlier version stored it. */
    std::chrono::milliseconds endedAt{0};
};

} // namespace azurelb
