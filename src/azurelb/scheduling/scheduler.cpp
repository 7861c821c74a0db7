#include <azurelb/scheduling/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** A stop that was not confirmed is sent again after this time: two round trips of a slow day. */
constexpr milliseconds stopRetryInterval{700};
/** An executor that found no room gets nothing for as long as its next report may take. */
constexpr milliseconds fullPause{200};
/** An executor that answered that it is not healthy or did not understand. */
constexpr milliseconds refusalPause{1000};
constexpr int fullPercent{100};
/** Executors report figures of the last half second: an effect is not seen before. */
constexpr milliseconds paceInterval{600};
/** Tail latency over its target, from which backfill runs are slowed down and sped up again. */
constexpr double paceDownAbove{0.9};
constexpr double paceUpBelow{0.7};
constexpr int paceStep{20};
/** Below this share a backfill run is halted rather than halved. */
constexpr int leastPace{12};
/** A long-running task counts as available once it has been at work this long. */
constexpr milliseconds settleTime{200};

} // namespace

scheduler::scheduler(const scheduling_options &options, run_number runBase)
    : m_options{options}
    , m_lastRun{runBase}
    , m_executors{options}
{ }

void scheduler::apply(const catalogue &config)
{
    m_catalogue = config;
    for (const job_id &id : m_jobs.open()) {
        job_entry &job = *m_jobs.find(id);
        if (const queue_entry *const queue = findQueue(m_catalogue, job.record.queue))
            m_jobs.applyQueue(job, *queue);
    }
}

void scheduler::addJob(const job_record &record, const job_progress &stored,
                       store_revision storedRevision, bool inherited, boot_time acceptedAt)
{
    if (!m_jobs.add(record, stored, storedRevision, inherited, acceptedAt))
        return;
    if (const queue_entry *const queue = findQueue(m_catalogue, record.queue))
        m_jobs.applyQueue(*m_jobs.find(record.id), *queue);
}

void scheduler::cancelJob(const job_id &id, boot_time now)
{
    if (!m_jobs.cancel(id, now))
        return;
    noteJobEnd(id, now);
    stopRunsOf(id, now);
}

void scheduler::noteJobEnd(const job_id &id, boot_time now)
{
    const job_entry &job = *m_jobs.find(id);
    m_notices.emplace_back(
        job_ended_notice{id, job.record.queue, job.state, now - job.acceptedAt, job.objective});
}

void scheduler::stopRunsOf(const job_id &id, boot_time now)
{
    for (auto &[name, executor] : m_executors.all()) {
        for (auto &[task, held] : executor.assignments) {
            if (task.job == id && held.phase != assignment_phase::stopping)
                stop(executor, task, held, stop_reason::job_over, now);
        }
    }
}

void scheduler::registerExecutor(const executor_registration &info, boot_time now)
{
    const executor_entry *const known = m_executors.find(info.id);
    if (known && known->info.born != 0 && info.born != 0 && known->info.born != info.born)
        endExecutor(info.id, now);
    m_executors.insert(info, now);
}

void scheduler::inheritExecutor(const executor_registration &info, boot_time now)
{
    executor_entry &executor = m_executors.insert(info, now);
    executor.inherited = true;
    executor.enrolled = true;
    executor.registered = false;
}

void scheduler::unregisterExecutor(const executor_id &id)
{
    if (executor_entry *const executor = m_executors.find(id))
        executor->registered = false;
}

void scheduler::endExecutor(const executor_id &id, boot_time now)
{
    executor_entry *const executor = m_executors.find(id);
    if (!executor)
        return;
    std::vector<task_id> held;
    for (const auto &[task, each] : executor->assignments)
        held.push_back(task);
    for (const task_id &task : held)
        drop(*executor, task, now);
    m_ended.push_back({id, executor->info.born});
    m_executors.erase(id);
}

void scheduler::drop(executor_entry &executor, const task_id &task, boot_time now)
{
    const task_entry *const entry = m_jobs.find(task);
    if (entry && entry->executor == executor.info.id)
        m_jobs.release(task, {});
    m_executors.release(executor, task, now);
}

void scheduler::stop(executor_entry &executor, const task_id &task, assignment &held,
                     stop_reason reason, boot_time now)
{
    held.stopReason = reason;
    held.phase = assignment_phase::stopping;
    held.stopConfirmed = false;
    held.stopSentAt = now;
    m_orders.emplace_back(stop_order{executor.info.id, task, held.run, reason});
}

void scheduler::observe(const executor_id &id, const executor_report &report, boot_time askedAt,
                        boot_time now)
{
    executor_entry *const executor = m_executors.find(id);
    if (!executor)
        return;
    if (executor->info.born != 0 && report.born != 0 && executor->info.born != report.born) {
        endExecutor(id, now);
        return;
    }
    executor->info.born = report.born;
    executor->clock = report.clock;
    executor->clockAt = now;
    if (!std::exchange(executor->contacted, true))
        m_executors.boundEarlierLeases(*executor, now);
    executor->silent = false;
    for (const ended_run &each : report.ended)
        m_jobs.openReported(each.task);
    for (const reported_run &each : report.running)
        m_jobs.openReported(each.task);
    observeEnds(*executor, report, now);
    for (const reported_run &each : report.running)
        observeRunning(*executor, each, now);
    observeAbsent(*executor, report, askedAt, now);
    pace(*executor, now);
}

void scheduler::observeEnds(executor_entry &executor, const executor_report &report, boot_time now)
{
    for (const ended_run &each : report.ended) {
        if (each.sequence <= executor.processedEnds)
            continue;
        executor.processedEnds = each.sequence;
        applyEnd(executor, each, now);
    }
}

void scheduler::applyEnd(executor_entry &executor, const ended_run &end, boot_time now)
{
    assignment *const held = m_executors.find(executor.info.id, end.task);
    const bool isAssigned = held && held->run == end.run;
    if (isAssigned) {
        m_jobs.noteCheckpoint(end.task, end.checkpoint);
        drop(executor, end.task, now);
    }
    judge(executor, end, now);
    const end_effect effect = m_jobs.applyEnd(end, executor.info.id, now);
    if (end.end != run_end::done)
        m_notices.emplace_back(run_ended_notice{end.task, end.run, end.end, executor.info.id});
    if (effect == end_effect::job_failed || effect == end_effect::job_completed) {
        noteJobEnd(end.task.job, now);
        stopRunsOf(end.task.job, now);
    }
    // Another run of a task that is done, or of another member of its gang, is not wanted.
    const task_entry *const task = m_jobs.find(end.task);
    if (effect == end_effect::task_done && task && task->assigned) {
        executor_entry *const other = m_executors.find(task->executor);
        assignment *const run = m_executors.find(task->executor, end.task);
        if (run && run->phase != assignment_phase::stopping)
            stop(*other, end.task, *run, stop_reason::not_wanted, now);
    }
}

void scheduler::judge(executor_entry &executor, const ended_run &end, boot_time now)
{
    if (end.end == run_end::done) {
        executor.failuresInRow = 0;
        executor.lastFailedJob.clear();
        return;
    }
    // Several failures of one job, or one that failed elsewhere, are the job's own fault.
    const task_entry *const task = m_jobs.find(end.task);
    if (end.end != run_end::failed || executor.lastFailedJob == end.task.job || !task
        || !task->lastFailedOn.empty())
        return;
    executor.lastFailedJob = end.task.job;
    if (++executor.failuresInRow < m_options.suspicionBound)
        return;
    executor.suspendedUntil = now + m_options.suspensionTerm;
    m_notices.emplace_back(executor_suspended_notice{executor.info.id, "failures"});
}

void scheduler::observeRunning(executor_entry &executor, const reported_run &run, boot_time now)
{
    assignment *held = m_executors.find(executor.info.id, run.task);
    if (!held) {
        adopt(executor, run, now);
        held = m_executors.find(executor.info.id, run.task);
    }
    if (!held)
        return;
    if (held->run != run.run) {
        m_orders.emplace_back(stop_order{executor.info.id, run.task, run.run});
        return;
    }
    if (held->phase == assignment_phase::requested || held->phase == assignment_phase::doubtful) {
        held->phase = assignment_phase::running;
        held->confirmedAt = now;
    }
    if (held->percent != run.percent || held->progressAt == boot_time{}) {
        held->percent = run.percent;
        held->progressAt = now;
    }
    held->figure = run.figure;
    m_jobs.noteCheckpoint(run.task, run.checkpoint);
}

void scheduler::adopt(executor_entry &executor, const reported_run &run, boot_time now)
{
    job_entry *const job = m_jobs.find(run.task.job);
    const task_entry *const task = m_jobs.find(run.task);
    assignment held;
    held.run = run.run;
    if (job && run.task.step < job->record.steps.size())
        held = makeAssignment(*job, job->record.steps[run.task.step], run.run);
    held.phase = assignment_phase::running;
    held.requestedAt = now;
    held.confirmedAt = now;
    assignment &added = m_executors.assign(executor, run.task, std::move(held));
    const bool wanted = job && task && !isFinal(job->state) && !task->done && !task->assigned;
    if (wanted)
        m_jobs.assign(run.task, executor.info.id);
    else
        stop(executor, run.task, added, stop_reason::not_wanted, now);
}

void scheduler::observeAbsent(executor_entry &executor, const executor_report &report,
                              boot_time askedAt, boot_time now)
{
    std::vector<task_id> gone;
    for (auto &[task, held] : executor.assignments) {
        const auto isListed = [&task = task, &held = held](const reported_run &each) {
            return each.task == task && each.run == held.run;
        };
        const bool listed = std::any_of(report.running.begin(), report.running.end(), isListed);
        const bool settled = held.phase == assignment_phase::running
            || (held.phase == assignment_phase::stopping && held.stopConfirmed);
        if (settled && !listed && held.confirmedAt < askedAt)
            gone.push_back(task);
        else if (held.phase == assignment_phase::stopping && !held.stopConfirmed
                 && held.stopSentAt + stopRetryInterval < now)
            stop(executor, task, held, held.stopReason, now);
        else if (held.phase == assignment_phase::doubtful && !listed)
            stop(executor, task, held, stop_reason::doubtful, now);
    }
    for (const task_id &task : gone)
        drop(executor, task, now);
}

void scheduler::noteSilence(const executor_id &id)
{
    if (executor_entry *const executor = m_executors.find(id))
        executor->silent = true;
}

void scheduler::noteStart(const start_order &order, start_outcome outcome, boot_time now)
{
    if (outcome == start_outcome::other_life) {
        endExecutor(order.executor, now);
        return;
    }
    executor_entry *const executor = m_executors.find(order.executor);
    assignment *const held = m_executors.find(order.executor, order.task);
    if (!held || held->run != order.run)
        return;
    if (outcome == start_outcome::started || outcome == start_outcome::unknown) {
        if (held->phase == assignment_phase::requested) {
            held->phase = outcome == start_outcome::started ? assignment_phase::running
                                                            : assignment_phase::doubtful;
            held->confirmedAt = now;
        }
        return;
    }
    if (outcome == start_outcome::full || outcome == start_outcome::expired)
        executor->suspendedUntil = now + fullPause;
    else if (outcome == start_outcome::unhealthy || outcome == start_outcome::rejected)
        executor->suspendedUntil = now + refusalPause;
    drop(*executor, order.task, now);
}

void scheduler::noteStop(const stop_order &order, bool confirmed, boot_time now)
{
    assignment *const held = m_executors.find(order.executor, order.task);
    if (!held || held->run != order.run || held->phase != assignment_phase::stopping || !confirmed)
        return;
    held->stopConfirmed = true;
    held->confirmedAt = now;
}

void scheduler::advance(boot_time now, milliseconds unixOffset, boot_time confirmedAt)
{
    for (const executor_id &id : m_executors.lapsed(std::min(now, confirmedAt)))
        endExecutor(id, now);
    m_jobs.openDue(now, unixOffset);
    for (auto &[id, executor] : m_executors.all()) {
        stopStalled(executor, now);
        leaveDraining(executor, now);
    }
    placeWaiting(now);
}

void scheduler::stopStalled(executor_entry &executor, boot_time now)
{
    for (auto &[task, held] : executor.assignments) {
        const bool stalled = held.phase == assignment_phase::running
            && held.progressAt != boot_time{} && held.percent < fullPercent
            && now - held.progressAt > m_options.stallBound;
        if (!stalled)
            continue;
        stop(executor, task, held, stop_reason::stalled, now);
        executor.failuresInRow = m_options.suspicionBound;
        executor.suspendedUntil = now + m_options.suspensionTerm;
        m_notices.emplace_back(executor_suspended_notice{executor.info.id, "stalled run"});
    }
}

void scheduler::leaveDraining(executor_entry &executor, boot_time now)
{
    if (!executor.info.draining || executor.silent)
        return;
    for (auto &[task, held] : executor.assignments) {
        if (held.longRunning && held.phase == assignment_phase::running)
            stop(executor, task, held, stop_reason::draining, now);
    }
}

void scheduler::vacate(const executor_id &id, boot_time now)
{
    executor_entry *const executor = m_executors.find(id);
    if (!executor)
        return;
    for (auto &[task, held] : executor->assignments) {
        if (held.longRunning && held.phase == assignment_phase::running && mayInterrupt(task, now))
            stop(*executor, task, held, stop_reason::maintenance, now);
    }
}

bool scheduler::mayInterrupt(const task_id &task, boot_time now)
{
    const job_entry *const job = m_jobs.find(task.job);
    const step_entry *const step = m_jobs.findStep(task);
    if (!job || !step)
        return true;
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
        if (index == task.index)
            continue;
        const task_id other{task.job, task.occurrence, task.step, index};
        const executor_entry *const executor = m_executors.find(step->tasks[index].executor);
        const assignment *const run = m_executors.find(step->tasks[index].executor, other);
        const bool atWork = run && !executor->silent && run->phase == assignment_phase::running
            && run->percent >= fullPercent && now - run->progressAt >= settleTime;
        away += atWork ? 0 : 1;
    }
    const std::uint32_t allowed = std::max(job->record.steps[task.step].maxUnavailable, 1U);
    return away < allowed;
}

void scheduler::pace(executor_entry &executor, boot_time now)
{
    double worst = 0;
    for (const auto &[task, held] : executor.assignments) {
        if (held.serving && held.latencyTarget.count() > 0)
            worst = std::max(worst,
                             static_cast<double>(held.figure)
                                 / static_cast<double>(held.latencyTarget.count()));
    }
    for (auto &[task, held] : executor.assignments) {
        if (!held.backfill || held.phase != assignment_phase::running
            || now - held.pacedAt < paceInterval)
            continue;
        int percent = held.paced;
        if (worst > paceDownAbove)
            percent = percent > leastPace ? percent / 2 : 0;
        else if (worst < paceUpBelow)
            percent = std::min(percent + paceStep, fullPercent);
        if (percent == held.paced)
            continue;
        held.paced = percent;
        held.pacedAt = now;
        m_orders.emplace_back(pace_order{executor.info.id, task, held.run, percent});
    }
}

} // namespace azurelb
