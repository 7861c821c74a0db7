#pragma once

#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/run_end.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A run that an executor has under way. */
struct reported_run
{
    task_id task{};
    run_number run{0};
    std::string checkpoint{};
    /** Progress; 100 for a long-running task that is at work. */
    int progressPercent{0};
    /** Tail latency in milliseconds of a serving task, processor use of any other. */
    std::int64_t reportedMetric{0};
};

/** A run that ended on an executor. */
struct ended_run
{
    /** Rises by one with each end in the executor's life. */
    std::int64_t sequence{0};
    task_id task{};
    run_number run{0};
    run_end end{run_end::stopped};
    std::string checkpoint{};
};

/** An executor's list of its runs. */
struct executor_report
{
    /** The executor's own clock when it answered. */
    std::chrono::milliseconds clock{0};
    std::int64_t startedUnixMs{0};
    std::vector<reported_run> running{};
    std::vector<ended_run> ended{};
};

} // namespace azurelb
