#pragma once

#include <azurelb/jobs/job_state.hpp>
#include <azurelb/jobs/task_id.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/former_run.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/run_end.hpp>
#include <azurelb/scheduling/task_run.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
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
    /** Incarnation that reported it: its start time, Unix time in milliseconds. */
    std::int64_t startedUnixMs{0};
    /** Number of the end on the executor. */
    std::int64_t number{0};
};

/** Ends as done of one report that have been applied. */
struct ends_done_notice
{
    executor_id executor{};
    std::int64_t startedUnixMs{0};
    /** Highest number of an end that has been applied. */
    std::int64_t lastNumber{0};
    std::vector<task_run> runs{};
};

/** An end was reported that counts for nothing. It is acknowledged nevertheless. */
struct end_not_counted_notice
{
    executor_id executor{};
    std::int64_t startedUnixMs{0};
    ended_run end{};
    std::string_view reason{};
};

/** A report was ignored, as it comes from a former incarnation. */
struct report_not_applied_notice
{
    executor_id executor{};
    std::int64_t startedUnixMs{0};
    /** Start time of the incarnation that is known to be the present one. */
    std::int64_t knownStartedUnixMs{0};
};

/** Tasks are free for another start, although their executor did not report that their runs have
    ended. */
struct runs_given_up_notice
{
    executor_id executor{};
    /** Incarnation on which the runs were. */
    std::int64_t startedUnixMs{0};
    release_reason reason{release_reason::lease_over};
    std::vector<task_run> runs{};
    /** Time since the last answer of this incarnation; empty if there was none. */
    std::optional<std::chrono::milliseconds> reportAge{};
    /** Time since the latest end of all leases; negative if they may last longer. */
    std::chrono::milliseconds leaseOver{0};
};

/** An executor on which earlier owners may have runs has listed all of its runs and ends. */
struct earlier_runs_listed_notice
{
    executor_id executor{};
    std::int64_t startedUnixMs{0};
    std::vector<task_run> running{};
    std::size_t ended{0};
    /** Number of the first listed end; 0 for none. Ends before it have been acknowledged. */
    std::int64_t firstEnd{0};
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
    std::int64_t startedUnixMs{0};
};

/** An executor has reported a run of a job that this owner has not read yet. */
struct unread_job_notice
{
    executor_id executor{};
    job_id job{};
    std::int64_t startedUnixMs{0};
};

/** An executor was suspended; afterwards it gets one short run at a time until one is done. */
struct executor_suspended_notice
{
    executor_id executor{};
    std::string reason{};
};

/** Events of the scheduler for logs and metrics. */
using scheduling_notice =
    std::variant<job_started_notice, job_ended_notice, run_ended_notice, ends_done_notice,
                 end_not_counted_notice, report_not_applied_notice, runs_given_up_notice,
                 earlier_runs_listed_notice, executor_restarted_notice, earlier_leases_over_notice,
                 unread_job_notice, executor_suspended_notice>;
using scheduling_notices = std::vector<scheduling_notice>;

} // namespace azurelb
