#pragma once

#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/former_run.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/stop_reason.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace azurelb {

/** Starts a run on an executor. */
struct start_order
{
    executor_id executor{};
    task_id task{};
    run_number run{0};
    std::string spec{};
    std::string checkpoint{};
    /** End of the lease in the executor's clock. */
    std::chrono::milliseconds leaseEnd{0};
    /** Incarnation for which the order is meant, and in whose clock leaseEnd is: its start time in
        Unix milliseconds; 0 if unknown. */
    std::int64_t startedUnixMs{0};
    /** The run of the task before this one; for the log only. */
    former_run former{};
};

/** Stops a run. An executor that receives the stop before the start rejects the start. */
struct stop_order
{
    executor_id executor{};
    task_id task{};
    run_number run{0};
    stop_reason reason{stop_reason::not_wanted};
    /** Incarnation that is known when the order is given: its start time in Unix milliseconds; 0 if
        unknown. */
    std::int64_t startedUnixMs{0};
};

/** Limits the share of the processor time that a backfill run may use. */
struct cpu_share_order
{
    executor_id executor{};
    task_id task{};
    run_number run{0};
    int percent{100};
};

using executor_order = std::variant<start_order, stop_order, cpu_share_order>;
using executor_orders = std::vector<executor_order>;

} // namespace azurelb
