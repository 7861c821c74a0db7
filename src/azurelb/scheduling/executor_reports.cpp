#include <azurelb/scheduling/scheduler.hpp>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Time after which an unconfirmed stop order is sent again: two round trips on a slow network. */
constexpr milliseconds stopRetryInterval{700};

/** Returns whether the report lists a run or an end of the job. */
bool mentions(const executor_report &report, const job_id &job)
{
    const auto isOfJob = [&job](const auto &each) {
        return each.task.job == job;
    };
    return std::any_of(report.running.begin(), report.running.end(), isOfJob)
        || std::any_of(report.ended.begin(), report.ended.end(), isOfJob);
}

} // namespace

void scheduler::applyReport(const executor_id &id, const executor_report &report, boot_time askedAt,
                            boot_time now)
{
    executor_entry *const executor = m_executors.find(id);
    if (!executor)
        return;
    // Without a start time, the report may be that of any incarnation.
    if (report.startedUnixMs == 0 && executor->info.startedUnixMs != 0)
        return;
    // A process names its start time in each of its reports or in none.
    const bool namedLater =
        executor->contacted && executor->info.startedUnixMs == 0 && report.startedUnixMs != 0;
    if (namedLater || isOtherIncarnation(*executor, report.startedUnixMs)) {
        if (report.startedUnixMs == executor->formerStartedUnixMs) {
            m_notices.emplace_back(
                report_not_applied_notice{id, report.startedUnixMs, executor->info.startedUnixMs});
            return;
        }
        beginIncarnation(*executor, report.startedUnixMs, now);
    }
    executor->info.startedUnixMs = report.startedUnixMs;
    executor->clock = report.clock;
    executor->clockReadAt = now;
    const bool wasUsable = executor->contacted && !executor->unresponsive;
    if (!std::exchange(executor->contacted, true))
        m_executors.capEarlierLeases(*executor, now);
    executor->unresponsive = false;
    if (!wasUsable || !report.ended.empty())
        m_changedPools.insert(executor->info.pool);
    applyRunsAndEnds(*executor, report, now);
    // The end of a run that is not listed may be among those that are not listed or not applied
    // yet.
    const bool endsKnown = report.endsComplete
        && std::none_of(report.ended.begin(), report.ended.end(), [executor](const auto &each) {
                               return each.sequence > executor->lastProcessedEnd;
                           });
    if (endsKnown && !std::exchange(executor->fullyReported, true) && executor->inherited)
        noteEarlierRuns(*executor, report);
    reconcileUnlistedRuns(*executor, report, {askedAt, endsKnown}, now);
    throttleBackfill(*executor, now);
}

void scheduler::noteEarlierRuns(const executor_entry &executor, const executor_report &report)
{
    earlier_runs_listed_notice added{executor.info.id, executor.info.startedUnixMs};
    for (const reported_run &each : report.running)
        added.running.push_back({each.task, each.run});
    added.ended = report.ended.size();
    added.firstEnd = report.ended.empty() ? 0 : report.ended.front().sequence;
    m_notices.emplace_back(std::move(added));
}

void scheduler::applyRunsAndEnds(executor_entry &executor, const executor_report &report,
                                 boot_time now)
{
    for (const ended_run &each : report.ended)
        m_jobs.openReportedOccurrence(each.task);
    for (const reported_run &each : report.running)
        m_jobs.openReportedOccurrence(each.task);
    applyReportedEnds(executor, report, now);
    for (const reported_run &each : report.running) {
        if (isDecided(executor, each.task.job, now))
            applyReportedRun(executor, each, now);
    }
    std::erase_if(executor.unreadJobs, [&](const unread_job &each) {
        return m_jobs.find(each.job) || !mentions(report, each.job);
    });
    executor.undecidedReport = {};
    m_undecidedExecutors.erase(executor.info.id);
    if (!hasUndecidedRuns(executor))
        return;
    executor.undecidedReport = report;
    m_undecidedExecutors.insert(executor.info.id);
    // The capacity that these runs use is unknown.
    executor.suspendedUntil = std::max(executor.suspendedUntil, now + noRoomBackoff);
}

bool scheduler::hasUndecidedRuns(const executor_entry &executor) const
{
    return std::any_of(executor.unreadJobs.begin(), executor.unreadJobs.end(),
                       [this](const unread_job &each) { return each.reportedAt >= m_jobsReadAt; });
}

void scheduler::applyUndecidedReports(boot_time now)
{
    const auto isRead = [this](const unread_job &each) {
        return m_jobs.find(each.job) != nullptr;
    };
    for (const executor_id &id : std::set<executor_id>{m_undecidedExecutors}) {
        executor_entry *const executor = m_executors.find(id);
        if (!executor) {
            m_undecidedExecutors.erase(id);
            continue;
        }
        const auto &unread = executor->unreadJobs;
        if (std::any_of(unread.begin(), unread.end(), isRead)) {
            const executor_report report = executor->undecidedReport;
            applyRunsAndEnds(*executor, report, now);
        }
    }
}

bool scheduler::isDecided(executor_entry &executor, const job_id &id, boot_time now)
{
    if (m_jobs.find(id) || m_jobsReadAt > now)
        return true;
    auto &unread = executor.unreadJobs;
    const auto found = std::find_if(unread.begin(), unread.end(),
                                    [&id](const unread_job &each) { return each.job == id; });
    if (found != unread.end())
        return found->reportedAt < m_jobsReadAt;
    unread.push_back({id, now});
    m_notices.emplace_back(unread_job_notice{executor.info.id, id, executor.info.startedUnixMs});
    return false;
}

void scheduler::applyReportedEnds(executor_entry &executor, const executor_report &report,
                                  boot_time now)
{
    ends_done_notice applied{executor.info.id, executor.info.startedUnixMs};
    for (const ended_run &each : report.ended) {
        if (each.sequence <= executor.lastProcessedEnd)
            continue;
        if (!isDecided(executor, each.task.job, now))
            break;
        executor.lastProcessedEnd = each.sequence;
        if (applyEnd(executor, each, now) && each.end == run_end::done)
            applied.runs.push_back({each.task, each.run});
    }
    if (applied.runs.empty())
        return;
    applied.lastNumber = executor.lastProcessedEnd;
    m_notices.emplace_back(std::move(applied));
}

bool scheduler::applyEnd(executor_entry &executor, const ended_run &end, boot_time now)
{
    const auto addUncounted = [&](std::string_view reason) {
        m_notices.emplace_back(
            end_not_counted_notice{executor.info.id, executor.info.startedUnixMs, end, reason});
    };
    if (std::erase(executor.lapsedRuns, lapsed_run{end.task, end.run}) != 0) {
        addUncounted("lease-over");
        return false;
    }
    assignment *const held = m_executors.find(executor.info.id, end.task);
    const bool isAssigned = held && held->run == end.run;
    if (isAssigned) {
        m_jobs.recordCheckpoint(end.task, end.run, end.checkpoint);
        dropAssignment(executor, end.task, release_reason::ended, now);
    }
    updateFailureCount(executor, end, now);
    const end_effect effect = m_jobs.applyEnd(end, executor.info.id, now);
    if (end.end != run_end::done)
        m_notices.emplace_back(run_ended_notice{end.task, end.run, end.end, executor.info.id,
                                                executor.info.startedUnixMs, end.sequence});
    else if (effect == end_effect::none)
        addUncounted(uncountedReason(end.task));
    if (effect == end_effect::job_failed || effect == end_effect::job_completed) {
        addJobEndNotice(end.task.job, now);
        stopRunsOf(end.task.job, now);
    }
    // Any other run of a task that is done must be stopped.
    const task_entry *const task = m_jobs.find(end.task);
    if (effect == end_effect::task_done && task && task->assigned) {
        executor_entry *const other = m_executors.find(task->executor);
        assignment *const run = m_executors.find(task->executor, end.task);
        if (run && run->phase != assignment_phase::stopping)
            stopRun(*other, end.task, *run, stop_reason::not_wanted, now);
    }
    return effect != end_effect::none;
}

std::string_view scheduler::uncountedReason(const task_id &task)
{
    const job_entry *const job = m_jobs.find(task.job);
    if (!job)
        return "unknown-job";
    if (isFinal(job->state))
        return "job-over";
    const task_entry *const entry = m_jobs.find(task);
    const bool isDone = entry ? entry->done : job->completedOccurrences.contains(task.occurrence);
    return isDone ? "task-done" : "older-run";
}

void scheduler::updateFailureCount(executor_entry &executor, const ended_run &end, boot_time now)
{
    if (end.end == run_end::done) {
        executor.consecutiveFailures = 0;
        executor.lastFailedJob.clear();
        return;
    }
    // Repeated failures of one job, or failures of a task that failed before, are attributed to the
    // job rather than to the executor.
    const task_entry *const task = m_jobs.find(end.task);
    if (end.end != run_end::failed || executor.lastFailedJob == end.task.job || !task
        || !task->lastFailedOn.empty())
        return;
    executor.lastFailedJob = end.task.job;
    if (++executor.consecutiveFailures < m_options.suspendAfterFailures)
        return;
    executor.suspendedUntil = now + m_options.suspensionTime;
    m_notices.emplace_back(executor_suspended_notice{executor.info.id, "failures"});
}

void scheduler::applyReportedRun(executor_entry &executor, const reported_run &run, boot_time now)
{
    m_jobs.recordBegun(run.task.job);
    assignment *held = m_executors.find(executor.info.id, run.task);
    if (!held) {
        adoptRun(executor, run, now);
        held = m_executors.find(executor.info.id, run.task);
    }
    if (!held)
        return;
    if (held->run != run.run) {
        m_orders.emplace_back(stop_order{executor.info.id, run.task, run.run,
                                         stop_reason::not_wanted, executor.info.startedUnixMs});
        return;
    }
    held->reported = true;
    held->unreportedLeaseEnd = {};
    if (held->phase == assignment_phase::requested || held->phase == assignment_phase::unconfirmed)
    {
        held->phase = assignment_phase::running;
        held->confirmedAt = now;
    }
    if (held->progressPercent != run.progressPercent || held->progressChangedAt == boot_time{}) {
        held->progressPercent = run.progressPercent;
        held->progressChangedAt = now;
    }
    held->reportedMetric = run.reportedMetric;
    m_jobs.recordCheckpoint(run.task, run.run, run.checkpoint);
}

void scheduler::adoptRun(executor_entry &executor, const reported_run &run, boot_time now)
{
    job_entry *const job = m_jobs.find(run.task.job);
    task_entry *const task = m_jobs.find(run.task);
    assignment held;
    held.run = run.run;
    if (job && run.task.step < job->record.steps.size())
        held = makeAssignment(*job, job->record.steps[run.task.step], run.run);
    held.phase = assignment_phase::running;
    held.requestedAt = now;
    held.confirmedAt = now;
    assignment &added = m_executors.assign(executor, run.task, std::move(held));
    if (task)
        ++task->former.starts;
    const bool wanted = job && task && !isFinal(job->state) && !task->done && !task->assigned;
    if (wanted) {
        m_jobs.assign(run.task, executor.info.id);
        m_jobs.recordStart(*job);
    } else {
        stopRun(executor, run.task, added, stop_reason::not_wanted, now);
    }
}

void scheduler::reconcileUnlistedRuns(executor_entry &executor, const executor_report &report,
                                      const report_proof &proof, boot_time now)
{
    std::vector<std::pair<std::reference_wrapper<const task_id>, run_number>> listedRuns;
    listedRuns.reserve(report.running.size());
    for (const reported_run &each : report.running)
        listedRuns.emplace_back(each.task, each.run);
    const auto isLess = [](const auto &left, const auto &right) {
        return std::tie(left.first.get(), left.second) < std::tie(right.first.get(), right.second);
    };
    std::sort(listedRuns.begin(), listedRuns.end(), isLess);
    std::vector<task_id> ended;
    for (auto &[task, held] : executor.assignments) {
        const bool listed = std::binary_search(listedRuns.begin(), listedRuns.end(),
                                               std::pair{std::cref(task), held.run}, isLess);
        const bool settled = held.phase == assignment_phase::running
            || (held.phase == assignment_phase::stopping && held.stopConfirmed);
        if (settled && !listed && proof.endsKnown && held.confirmedAt < proof.askedAt)
            ended.push_back(task);
        else if (held.phase == assignment_phase::stopping && !held.stopConfirmed
                 && held.stopSentAt + stopRetryInterval < now)
            stopRun(executor, task, held, held.stopReason, now);
        else if (held.phase == assignment_phase::unconfirmed && !listed)
            stopRun(executor, task, held, stop_reason::start_unconfirmed, now);
    }
    for (const task_id &task : ended)
        dropAssignment(executor, task, release_reason::not_listed, now);
}

} // namespace azurelb
