#pragma once

#include <azurelb/jobs/job_state.hpp>
#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/run_end.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace azurelb {

/** The first task of a job was placed. */
struct job_started_notice
{
    job_id job{};
    std::string queue{};
    std::chrono::milliseconds waited{0};
};

/** A job has completed, failed or been cancelled. */
struct job_ended_notice
{
    job_id job{};
    std::string queue{};
    job_state state{job_state::completed};
    std::chrono::milliseconds elapsed{0};
    std::chrono::milliseconds objective{0};
};

/** A run ended without completing its task. */
struct run_ended_notice
{
    task_id task{};
    run_number run{0};
    run_end end{run_end::failed};
    executor_id executor{};
};

/** An executor has restarted under its identifier. */
struct executor_restarted_notice
{
    executor_id executor{};
    /** Start time of the new incarnation, Unix time in milliseconds. */
    std::int64_t startedUnixMs{0};
    /** Runs that ended with the former incarnation. */
    std::size_t endedRuns{0};
    /** Runs that may be on the new incarnation; its reports decide. */
    std::size_t undecidedRuns{0};
};

/** The leases that earlier owners may have granted to an executor are over, and it has not reported
    to this owner. */
struct earlier_leases_over_notice
{
    executor_id executor{};
};

/** An executor has reported a run of a job that this owner has not read yet. */
struct unread_job_notice
{
    executor_id executor{};
    job_id job{};
};

/** An executor was suspended; afterwards it gets one short run at a time until one is done. */
struct executor_suspended_notice
{
    executor_id executor{};
    std::string reason{};
};

/** Events of the scheduler for logs and metrics. */
using scheduling_notice =
    std::variant<job_started_notice, job_ended_notice, run_ended_notice, executor_restarted_notice,
                 earlier_leases_over_notice, unread_job_notice, executor_suspended_notice>;
using scheduling_notices = std::vector<scheduling_notice>;

} // namespace azurelb
