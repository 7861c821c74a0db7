#include <azurelb/scheduling/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Time without new runs for an executor that is unhealthy, rejected an order as malformed or has
    restarted and not registered yet. */
constexpr milliseconds rejectionBackoff{1000};
constexpr int fullPercent{100};
/** Minimum time between two changes: executors report metrics of the last half second, so that an
    effect is not visible earlier. */
constexpr milliseconds cpuShareInterval{600};
/** Ratios of tail latency to its target above and below which backfill runs get less or more
    processor time. */
constexpr double throttleAboveRatio{0.9};
constexpr double unthrottleBelowRatio{0.7};
constexpr int cpuShareIncrementPercent{20};
/** At or below this share a backfill run is paused instead of halved again. */
constexpr int minCpuSharePercent{12};
/** Interval of the checks of all executors: expired leases, stalled runs, drains. */
constexpr milliseconds executorCheckInterval{40};
/** Time for which a long-running task must have reported full progress to count as available. */
constexpr milliseconds minTimeAtWork{200};

/** Returns whether the executor may have taken the lease of the order: it does so from refused
   ones, too, if it has no room or knows the run. */
bool mayGrantLease(start_outcome outcome) noexcept
{
    return outcome == start_outcome::started || outcome == start_outcome::unknown
        || outcome == start_outcome::full || outcome == start_outcome::outdated;
}

} // namespace

scheduler::scheduler(const scheduling_options &options, run_number runBase)
    : m_options{options}
    , m_lastRun{runBase}
    , m_executors{options}
{ }

void scheduler::apply(const catalogue &config)
{
    m_catalogue = config;
    for (job_entry *const job : m_jobs.open()) {
        if (const queue_entry *const queue = findQueue(m_catalogue, job->record.queue))
            m_jobs.applyQueueSettings(*job, *queue);
    }
    m_attemptsChecked = false;
}

void scheduler::addJob(const job_record &record, const job_progress &stored,
                       store_revision storedRevision, bool inherited, boot_time acceptedAt)
{
    if (!m_jobs.add(record, stored, storedRevision, inherited, acceptedAt))
        return;
    if (const queue_entry *const queue = findQueue(m_catalogue, record.queue))
        m_jobs.applyQueueSettings(*m_jobs.find(record.id), *queue);
    m_changedPools.insert(record.pool);
    m_attemptsChecked = m_attemptsChecked && !inherited;
}

/** Failures count from the first one on, but end a job only once its queue's limit is known. */
void scheduler::failExhaustedJobs(boot_time now)
{
    for (const job_id &id : m_jobs.failExhausted(now)) {
        addJobEndNotice(id, now);
        stopRunsOf(id, now);
    }
}

void scheduler::cancelJob(const job_id &id, boot_time now)
{
    if (!m_jobs.cancel(id, now))
        return;
    addJobEndNotice(id, now);
    stopRunsOf(id, now);
}

void scheduler::addJobEndNotice(const job_id &id, boot_time now)
{
    const job_entry &job = *m_jobs.find(id);
    m_notices.emplace_back(
        job_ended_notice{id, job.record.queue, job.state, now - job.acceptedAt, job.objective});
}

void scheduler::stopRunsOf(const job_id &id, boot_time now)
{
    const job_entry &job = *m_jobs.find(id);
    for (const occurrence_entry &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const task_id task{id, occurrence.number, step, index};
                executor_entry *const executor =
                    tasks[index].assigned ? m_executors.find(tasks[index].executor) : nullptr;
                assignment *const held =
                    executor ? m_executors.find(tasks[index].executor, task) : nullptr;
                if (held && held->phase != assignment_phase::stopping)
                    stopRun(*executor, task, *held, stop_reason::job_over, now);
            }
        }
    }
}

void scheduler::registerExecutor(const executor_registration &info, boot_time now, milliseconds age)
{
    executor_entry *const known = m_executors.find(info.id);
    if (known && isOtherIncarnation(*known, info.startedUnixMs)) {
        // No order to the former address can have reached the new incarnation.
        if (known->info.address != info.address)
            endExecutor(info.id, now);
        else
            beginIncarnation(*known, info.startedUnixMs, now);
    }
    m_executors.insert(info, now, age);
    m_changedPools.insert(info.pool);
}

/** Runs that the former incarnation has listed ended with it. An order for any other run may have
    reached the new incarnation instead, whose reports decide. */
void scheduler::beginIncarnation(executor_entry &executor, std::int64_t startedUnixMs,
                                 boot_time now)
{
    std::vector<task_id> ended;
    for (auto &[task, held] : executor.assignments) {
        if (held.reported)
            ended.push_back(task);
        // A confirmation may come from the former incarnation, so the stop order is repeated.
        held.stopConfirmed = false;
        held.stopSentAt = {};
    }
    for (const task_id &task : ended)
        dropAssignment(executor, task, release_reason::executor_restarted, now);
    m_notices.emplace_back(executor_restarted_notice{executor.info.id, startedUnixMs, ended.size(),
                                                     executor.assignments.size()});
    m_endedIncarnations.push_back({executor.info.id, executor.info.startedUnixMs, true});
    m_executors.restart(executor, startedUnixMs, now);
}

void scheduler::inheritExecutor(const executor_registration &info, boot_time now, milliseconds age)
{
    executor_entry &executor = m_executors.insert(info, now, age);
    executor.inherited = true;
    executor.ownershipRecorded = true;
    executor.registered = false;
}

void scheduler::unregisterExecutor(const executor_id &id)
{
    if (executor_entry *const executor = m_executors.find(id))
        executor->registered = false;
}

void scheduler::endExecutor(const executor_id &id, boot_time now)
{
    endExecutor(id, release_reason::executor_ended, now);
}

void scheduler::endExecutor(const executor_id &id, release_reason reason, boot_time now)
{
    executor_entry *const executor = m_executors.find(id);
    if (!executor)
        return;
    std::vector<task_id> held;
    for (const auto &[task, each] : executor->assignments)
        held.push_back(task);
    for (const task_id &task : held)
        dropAssignment(*executor, task, reason, now);
    m_endedIncarnations.push_back({id, executor->info.startedUnixMs, executor->registered});
    m_executors.erase(id);
}

void scheduler::giveUpRuns(executor_entry &executor, boot_time leasesOverAt, boot_time now)
{
    std::vector<task_id> given;
    for (const auto &[task, held] : executor.assignments) {
        if (held.unreportedLeaseEnd > leasesOverAt)
            continue;
        executor.lapsedRuns.push_back({task, held.run});
        given.push_back(task);
    }
    for (const task_id &task : given)
        dropAssignment(executor, task, release_reason::lease_over, now);
}

void scheduler::dropAssignment(executor_entry &executor, const task_id &task, release_reason reason,
                               boot_time now)
{
    task_entry *const entry = m_jobs.find(task);
    if (entry && entry->executor == executor.info.id) {
        const assignment *const held = m_executors.find(executor.info.id, task);
        m_jobs.release(task);
        if (reason != release_reason::not_started)
            m_jobs.recordBegun(task.job);
        entry->former = {held ? held->run : entry->former.run, reason, entry->former.starts};
        if (held && reason != release_reason::ended && reason != release_reason::not_started
            && !entry->done && !isFinal(m_jobs.find(task.job)->state))
            noteGivenUp(executor, {task, held->run}, reason, now);
    }
    m_executors.release(executor, task, now);
    m_changedPools.insert(executor.info.pool);
}

void scheduler::noteGivenUp(const executor_entry &executor, const task_run &run,
                            release_reason reason, boot_time now)
{
    auto *const last =
        m_notices.empty() ? nullptr : std::get_if<runs_given_up_notice>(&m_notices.back());
    if (last && last->executor == executor.info.id && last->reason == reason
        && last->startedUnixMs == executor.info.startedUnixMs)
    {
        last->runs.push_back(run);
        return;
    }
    runs_given_up_notice added{
        executor.info.id, executor.info.startedUnixMs,   reason, {run},
        std::nullopt,     now - executor.latestLeaseEnd,
    };
    if (executor.clockReadAt != boot_time{})
        added.reportAge = now - executor.clockReadAt;
    m_notices.emplace_back(std::move(added));
}

void scheduler::stopRun(executor_entry &executor, const task_id &task, assignment &held,
                        stop_reason reason, boot_time now)
{
    held.stopReason = reason;
    held.phase = assignment_phase::stopping;
    held.stopConfirmed = false;
    held.stopSentAt = now;
    m_orders.emplace_back(
        stop_order{executor.info.id, task, held.run, reason, executor.info.startedUnixMs});
}

void scheduler::markUnresponsive(const executor_id &id)
{
    if (executor_entry *const executor = m_executors.find(id))
        executor->unresponsive = true;
}

void scheduler::applyStartOutcome(const start_order &order, start_outcome outcome, boot_time now)
{
    executor_entry *const executor = m_executors.find(order.executor);
    if (outcome == start_outcome::other_incarnation && executor
        && executor->info.startedUnixMs == order.startedUnixMs)
    {
        endExecutor(order.executor, now);
        stopIncompleteGang(order.task, order.run, now);
        return;
    }
    // An order in flight at the restart may be carried out by the new incarnation until now.
    if (executor && executor->info.startedUnixMs != order.startedUnixMs && mayGrantLease(outcome))
        m_executors.recordFormerLease(*executor, now);
    assignment *const held = m_executors.find(order.executor, order.task);
    if (!held || held->run != order.run)
        return;
    if (outcome == start_outcome::started || outcome == start_outcome::unknown) {
        m_jobs.recordBegun(order.task.job);
        if (held->phase == assignment_phase::requested) {
            held->phase = outcome == start_outcome::started ? assignment_phase::running
                                                            : assignment_phase::unconfirmed;
            held->confirmedAt = now;
            if (outcome == start_outcome::unknown)
                held->unreportedLeaseEnd = m_executors.formerLeaseEnd(now);
        }
        return;
    }
    if (outcome == start_outcome::full || outcome == start_outcome::expired)
        executor->suspendedUntil = now + noRoomBackoff;
    else if (outcome == start_outcome::unhealthy || outcome == start_outcome::rejected
             || (outcome == start_outcome::restarted
                 && executor->info.startedUnixMs == order.startedUnixMs))
        executor->suspendedUntil = now + rejectionBackoff;
    dropAssignment(*executor, order.task, release_reason::not_started, now);
    m_jobs.recordNotStarted(order.task.job);
    stopIncompleteGang(order.task, order.run, now);
}

void scheduler::stopIncompleteGang(const task_id &notStarted, run_number run, boot_time now)
{
    const job_entry *const job = m_jobs.find(notStarted.job);
    const step_entry *const step = m_jobs.findStep(notStarted);
    if (!job || !step || !job->record.steps[notStarted.step].gang)
        return;
    task_id member = stepOf(notStarted);
    for (; member.index < step->tasks.size(); ++member.index) {
        executor_entry *const executor = m_executors.find(step->tasks[member.index].executor);
        assignment *const held = executor ? m_executors.find(executor->info.id, member) : nullptr;
        if (held && held->run == run && held->phase != assignment_phase::stopping)
            stopRun(*executor, member, *held, stop_reason::gang_incomplete, now);
    }
}

void scheduler::recordAnswerOnOtherClock(const executor_id &id, boot_time now)
{
    executor_entry *const executor = m_executors.find(id);
    if (!executor)
        return;
    m_executors.recordFormerLease(*executor, now);
    // The next owner must learn of it even if this one never gets a report of the incarnation.
    executor->info.hasRestarted = true;
    executor->ownershipRecorded = false;
}

bool scheduler::isStartPending(const start_order &order) const
{
    const executor_entry *const executor = m_executors.find(order.executor);
    if (!executor)
        return false;
    const auto held = executor->assignments.find(order.task);
    return held != executor->assignments.end() && held->second.run == order.run
        && held->second.phase == assignment_phase::requested;
}

void scheduler::applyStopOutcome(const stop_order &order, bool confirmed, boot_time now)
{
    const executor_entry *const executor = m_executors.find(order.executor);
    assignment *const held = m_executors.find(order.executor, order.task);
    if (!held || held->run != order.run || held->phase != assignment_phase::stopping || !confirmed)
        return;
    // A former incarnation may have confirmed it.
    if (executor->info.startedUnixMs != order.startedUnixMs)
        return;
    held->stopConfirmed = true;
    held->confirmedAt = now;
}

void scheduler::advance(boot_time now, milliseconds unixOffset, boot_time confirmedAt,
                        placement_mode placement)
{
    if (now - m_checkedAt >= executorCheckInterval)
        checkExecutors(now, confirmedAt);
    m_jobs.openDueOccurrences(now, unixOffset);
    applyUndecidedReports(now);
    if (!std::exchange(m_attemptsChecked, true))
        failExhaustedJobs(now);
    if (placement == placement_mode::allowed)
        placeWaitingSteps(now);
}

void scheduler::checkExecutors(boot_time now, boot_time confirmedAt)
{
    const boot_time before = std::exchange(m_checkedAt, now);
    for (const auto &[id, executor] : m_executors.all()) {
        if (mayHaveUnknownRuns(executor, before) && !mayHaveUnknownRuns(executor, now))
            m_notices.emplace_back(earlier_leases_over_notice{id, executor.info.startedUnixMs});
    }
    const boot_time leasesOverAt = std::min(now, confirmedAt);
    for (const executor_id &id : m_executors.executorsWithExpiredLease(leasesOverAt)) {
        executor_entry &executor = *m_executors.find(id);
        giveUpRuns(executor, leasesOverAt, now);
        if (!executor.registered && executor.assignments.empty())
            endExecutor(id, release_reason::lease_over, now);
    }
    for (auto &[id, executor] : m_executors.all()) {
        stopStalled(executor, now);
        stopLongRunningIfDraining(executor, now);
    }
}

void scheduler::stopStalled(executor_entry &executor, boot_time now)
{
    for (auto &[task, held] : executor.assignments) {
        const bool stalled = held.phase == assignment_phase::running
            && held.progressChangedAt != boot_time{} && held.progressPercent < fullPercent
            && now - held.progressChangedAt > m_options.stallTimeout
            && now - held.progressChangedAt > stallTimeoutOf(task, held);
        if (!stalled)
            continue;
        if (task_entry *const entry = m_jobs.find(task))
            ++entry->stalledRuns;
        stopRun(executor, task, held, stop_reason::stalled, now);
        executor.consecutiveFailures = m_options.suspendAfterFailures;
        executor.suspendedUntil = now + m_options.suspensionTime;
        m_notices.emplace_back(executor_suspended_notice{executor.info.id, "stalled run"});
    }
}

/** Progress is reported in whole percent, so a long run moves by one in a hundredth of its
   duration. The estimate is rough: each run of the task that seemed to stall doubles the time for
   the next. */
milliseconds scheduler::stallTimeoutOf(const task_id &task, const assignment &held)
{
    constexpr std::uint32_t maxDoublings{12};
    constexpr int percentTolerance{3};
    const task_entry *const entry = m_jobs.find(task);
    const std::uint32_t doublings = entry ? std::min(entry->stalledRuns, maxDoublings) : 0;
    return std::max<milliseconds>(m_options.stallTimeout * (1U << doublings),
                                  held.estimate * percentTolerance / fullPercent);
}

void scheduler::stopLongRunningIfDraining(executor_entry &executor, boot_time now)
{
    if (!executor.info.draining || executor.unresponsive)
        return;
    for (auto &[task, held] : executor.assignments) {
        if (held.longRunning && held.phase == assignment_phase::running)
            stopRun(executor, task, held, stop_reason::draining, now);
    }
}

void scheduler::evictLongRunningTasks(const executor_id &id, boot_time now)
{
    executor_entry *const executor = m_executors.find(id);
    if (!executor)
        return;
    for (auto &[task, held] : executor->assignments) {
        if (held.longRunning && held.phase == assignment_phase::running && mayInterrupt(task, now))
            stopRun(*executor, task, held, stop_reason::maintenance, now);
    }
}

bool scheduler::mayInterrupt(const task_id &task, boot_time now)
{
    const job_entry *const job = m_jobs.find(task.job);
    const step_entry *const step = m_jobs.findStep(task);
    if (!job || !step)
        return true;
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
        if (index == task.index)
            continue;
        const task_id other{task.job, task.occurrence, task.step, index};
        const executor_entry *const executor = m_executors.find(step->tasks[index].executor);
        const assignment *const run = m_executors.find(step->tasks[index].executor, other);
        const bool available = run && !executor->unresponsive
            && run->phase == assignment_phase::running && run->progressPercent >= fullPercent
            && now - run->progressChangedAt >= minTimeAtWork;
        unavailable += available ? 0 : 1;
    }
    const std::uint32_t allowed = std::max(job->record.steps[task.step].maxUnavailable, 1U);
    return unavailable < allowed;
}

void scheduler::throttleBackfill(executor_entry &executor, boot_time now)
{
    double highestRatio = 0;
    for (const auto &[task, held] : executor.assignments) {
        if (held.serving && held.latencyTarget.count() > 0)
            highestRatio = std::max(highestRatio,
                                    static_cast<double>(held.reportedMetric)
                                        / static_cast<double>(held.latencyTarget.count()));
    }
    for (auto &[task, held] : executor.assignments) {
        if (!held.backfill || held.phase != assignment_phase::running
            || now - held.cpuShareChangedAt < cpuShareInterval)
            continue;
        int percent = held.cpuSharePercent;
        if (highestRatio > throttleAboveRatio)
            percent = percent > minCpuSharePercent ? percent / 2 : 0;
        else if (highestRatio < unthrottleBelowRatio)
            percent = std::min(percent + cpuShareIncrementPercent, fullPercent);
        if (percent == held.cpuSharePercent)
            continue;
        held.cpuSharePercent = percent;
        held.cpuShareChangedAt = now;
        m_orders.emplace_back(cpu_share_order{executor.info.id, task, held.run, percent});
    }
}

} // namespace azurelb
