#pragma once

#include <azurelb/jobs/fwd.hpp>
#include <azurelb/jobs/job_state.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** What lasts of one task that has left its initial state. */
struct task_progress
{
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};
    bool done{false};
    /** Runs that ended by a failure; empty for long-running tasks. Executors may report them in
        any order and more than once, so a number would not do. */
    std::vector<run_number> failedRuns{};
    /** Highest run whose end is contained here. */
    run_number lastEndedRun{0};
    /** Last saved checkpoint; empty for none. */
    std::string checkpoint{};
};

/** What lasts of a job beside its record. A final state drops the tasks. */
struct job_progress
{
    job_state state{job_state::pending};
    /** Occurrences all of whose tasks are done; their tasks are not listed. */
    std::vector<std::uint32_t> completedOccurrences{};
    std::vector<task_progress> tasks{};
};

} // namespace azurelb
