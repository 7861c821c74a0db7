#pragma once

#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/run_end.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/** A run that is active on an executor. */
struct reported_run
{
    task_id task{};
    run_number run{0};
    std::string checkpoint{};
    /** Progress; 100 for a long-running task that is available. */
    int progressPercent{0};
    /** Tail latency in milliseconds of a serving task; processor use of any other task. */
    std::int64_t reportedMetric{0};
};

/** A run that ended on an executor. */
struct ended_run
{
    /** Increases by one with each ended run of the executor's incarnation. */
    std::int64_t sequence{0};
    task_id task{};
    run_number run{0};
    run_end end{run_end::stopped};
    std::string checkpoint{};
};

/** Active and ended runs as an executor reports them. */
struct executor_report
{
    /** The executor's clock when it answered. */
    std::chrono::milliseconds clock{0};
    std::int64_t startedUnixMs{0};
    std::vector<reported_run> running{};
    /** Ended runs that have not been acknowledged, in the order of their sequence numbers. */
    std::vector<ended_run> ended{};
    /** Whether ended holds all of them: an executor lists a limited number at a time. */
    bool endsComplete{true};
};

} // namespace azurelb
