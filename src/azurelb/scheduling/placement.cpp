#include <azurelb/jobs/job_work.hpp>
#include <azurelb/scheduling/scheduler.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Interval at which all pools are placed. Pools in which a run ended, a job arrived or an executor
    became usable are placed at once; suspensions of executors end by time alone. */
constexpr milliseconds allPoolsInterval{40};

/** Cost of a placement; lower is better, compared lexicographically. */
using placement_cost = std::array<std::int64_t, 6>;

/** Returns how many later occurrences of the job are due. */
std::uint32_t countLaterDue(const job_record &job, const occurrence_entry &occurrence,
                            boot_time now)
{
    if (job.repeats == 0 || now < occurrence.due)
        return 0;
    const std::uint32_t later = job.repeats - 1 - std::min(occurrence.number, job.repeats - 1);
    if (job.interval.count() <= 0)
        return later;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(later, (now - occurrence.due) / job.interval));
}

} // namespace

bool scheduler::isUsable(const executor_entry &executor, boot_time now) const
{
    return executor.registered && executor.ownershipRecorded && executor.contacted
        && !executor.unresponsive && !executor.reservedForMaintenance && !executor.info.draining
        && now >= executor.suspendedUntil && !m_evacuatedZones.contains(executor.info.zone);
}

/** While ends can't be stored, they stay on the executor's list. Nobody would learn of an end that
   it can't list. */
resources scheduler::roomOn(const executor_entry &executor, std::size_t plannedRuns) const noexcept
{
    constexpr resources none{-1, -1, -1};
    const auto unstored =
        static_cast<std::size_t>(executor.lastProcessedEnd - executor.lastStoredEnd);
    const bool listIsFull = unstored != 0
        && unstored + executor.assignments.size() + plannedRuns >= m_options.maxListedEnds;
    return listIsFull ? none : executor.free();
}

bool scheduler::pool_candidates::mayHaveRoom(const resources &wanted) const
{
    return std::none_of(rejected.begin(), rejected.end(),
                        [&wanted](const resources &each) { return fits(each, wanted); });
}

/** Returns the steps of the pool that may find room, in the order in which they are placed. */
std::vector<scheduler::waiting_step>
scheduler::waitingSteps(const std::string &name, const pool_candidates &pool, boot_time now) const
{
    std::vector<waiting_step> waiting;
    for (job_entry *const job : m_jobs.openOf(name)) {
        if (!mayPlace(*job, pool))
            continue;
        for (occurrence_entry &occurrence : job->occurrences) {
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                const step_entry &step = occurrence.steps[index];
                const job_step &jobStep = job->record.steps[index];
                if (!step.open || step.done + step.assigned >= step.tasks.size()
                    || !fits(reservation(jobStep), pool.largestFree))
                    continue;
                const waiting_facts facts{jobStep.longRunning,
                                          job->priority,
                                          occurrence.stepsDone != 0 || step.assigned != 0,
                                          occurrence.due,
                                          countLaterDue(job->record, occurrence, now),
                                          occurrence.due + job->objective - now
                                              - occurrence.remainingPath};
                waiting.push_back({job, &occurrence, index, rankOf(facts, m_options.order)});
            }
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const auto &left, const auto &right) { return left.rank < right.rank; });
    return waiting;
}

bool scheduler::mayPlace(const job_entry &job, const pool_candidates &pool) const
{
    // The settings of its queue are unknown until the configuration has been read.
    return !(job.inherited && pool.hasUnknownRuns)
        && job.record.configVersion <= m_catalogue.version;
}

scheduler::pool_candidates scheduler::candidatesOf(const std::string &pool, boot_time now) const
{
    pool_candidates found;
    for (executor_entry *const each : m_executors.ofPool(pool)) {
        found.hasUnknownRuns = found.hasUnknownRuns || mayHaveUnknownRuns(*each, now);
        if (!isUsable(*each, now))
            continue;
        const resources free = roomOn(*each);
        found.executors.push_back({each, free});
        found.largestFree = {std::max(found.largestFree.cpu, free.cpu),
                             std::max(found.largestFree.memory, free.memory),
                             std::max(found.largestFree.accelerators, free.accelerators)};
    }
    return found;
}

void scheduler::placeWaitingSteps(boot_time now)
{
    const bool all = now - m_allPlacedAt >= allPoolsInterval;
    if (all) {
        m_allPlacedAt = now;
        m_changedPools = m_executors.pools();
    }
    for (const std::string &name : std::exchange(m_changedPools, {})) {
        if (m_jobs.openOf(name).empty())
            continue;
        pool_candidates pool = candidatesOf(name, now);
        if (pool.executors.empty())
            continue;
        reserveForWaitingGang(name, pool, now);
        for (const waiting_step &each : waitingSteps(name, pool, now)) {
            const job_step &step = each.job->record.steps[each.step];
            if (!pool.mayHaveRoom(reservation(step)))
                continue;
            if (step.gang)
                placeGang(each, pool, now);
            else
                placeStep(each, pool, now);
        }
    }
}

void scheduler::placeStep(const waiting_step &step, pool_candidates &pool, boot_time now)
{
    const job_step &jobStep = step.job->record.steps[step.step];
    const team_entry *const team = findTeam(m_catalogue, step.job->record.team);
    const resources wanted = reservation(jobStep);
    // The executor of one task of a short step is the best for the next as long as it has room.
    const bool repeatsChoice = !jobStep.longRunning && jobStep.maxPerExecutor == 0;
    candidate *last = nullptr;
    auto &tasks = step.occurrence->steps[step.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].done || tasks[index].assigned)
            continue;
        const bool reuse = last && repeatsChoice && fits(wanted, last->free)
            && last->executor->consecutiveFailures < m_options.suspendAfterFailures
            && tasks[index].lastFailedOn.empty()
            && m_executors.teams().admits(team, jobStep.request);
        candidate *const chosen = reuse ? last : chooseExecutor(step, tasks[index], pool, team);
        if (!chosen)
            return;
        startOn(*chosen, step, index, ++m_lastRun, now);
        recordStart(step, now);
        last = tasks[index].lastFailedOn.empty() ? chosen : nullptr;
    }
}

void scheduler::recordStart(const waiting_step &step, boot_time now)
{
    const job_record &record = step.job->record;
    if (step.job->state == job_state::pending)
        m_notices.emplace_back(
            job_started_notice{record.id, record.queue, now - step.occurrence->due});
    m_jobs.recordStart(*step.job);
}

void scheduler::startOn(candidate &chosen, const waiting_step &step, std::uint32_t index,
                        run_number run, boot_time now)
{
    startRun(step, index, *chosen.executor, run, now);
    chosen.free = roomOn(*chosen.executor);
}

/**
 * Fills executors one after the other, those with long-running tasks first, so that the others
 * stay empty and their VMs can be moved to a pool that needs them.
 */
scheduler::candidate *scheduler::chooseExecutor(const waiting_step &step, const task_entry &task,
                                                pool_candidates &pool, const team_entry *team) const
{
    const job_step &jobStep = step.job->record.steps[step.step];
    if (!m_executors.teams().admits(team, jobStep.request))
        return nullptr;
    const resources wanted = reservation(jobStep);
    const task_id firstTask{step.job->record.id, step.occurrence->number, step.step, 0};
    const bool countsTasks = isSpread(jobStep);
    candidate *best = nullptr;
    bool hasRoom = false;
    placement_cost lowest{};
    for (candidate &entry : pool.executors) {
        if (!fits(wanted, entry.free))
            continue;
        hasRoom = true;
        const executor_entry &each = *entry.executor;
        if (!each.hasLabel(jobStep.requiredLabel))
            continue;
        if (isKeptFrom(step, entry, pool))
            continue;
        const std::size_t tasksOfStep =
            countsTasks ? each.countRunsOf(firstTask) + entry.plannedMembers : 0;
        if (jobStep.maxPerExecutor != 0 && tasksOfStep >= jobStep.maxPerExecutor)
            continue;
        if (each.consecutiveFailures >= m_options.suspendAfterFailures
            && each.shortRuns() + entry.plannedMembers > 0)
            continue;
        const bool otherRack = !jobStep.preferredRack.empty() && each.rack != jobStep.preferredRack;
        const bool failed = !task.lastFailedOn.empty() && task.lastFailedOn == each.info.id;
        // The loss of one executor must not exceed the step's limit of unavailable tasks.
        const bool exceedsSpread =
            jobStep.longRunning && tasksOfStep >= std::max<std::size_t>(jobStep.maxUnavailable, 1);
        // The task would have to move again when the open wave reaches this VM.
        const bool movesAgain = jobStep.longRunning && each.maintenanceDue;
        const std::size_t longRuns =
            each.longRuns + (jobStep.longRunning ? entry.plannedMembers : 0);
        const placement_cost cost{
            failed,
            exceedsSpread,
            movesAgain,
            otherRack,
            longRuns == 0,
            jobStep.backfill ? each.info.capacity.memory - entry.free.memory : entry.free.cpu};
        if (!best || cost < lowest) {
            best = &entry;
            lowest = cost;
        }
    }
    if (!hasRoom)
        pool.rejected.push_back(wanted);
    return best;
}

void scheduler::startRun(const waiting_step &step, std::uint32_t index, executor_entry &executor,
                         run_number run, boot_time now)
{
    const job_record &record = step.job->record;
    const task_id task{record.id, step.occurrence->number, step.step, index};
    assignment held = makeAssignment(*step.job, record.steps[step.step], run);
    held.requestedAt = now;
    m_executors.assign(executor, task, std::move(held));
    m_jobs.assign(task, executor.info.id);
    const milliseconds leaseEnd = m_executors.leaseEnd(executor, now);
    m_executors.recordLease(executor, leaseEnd);
    task_entry &entry = *m_jobs.find(task);
    former_run former = entry.former;
    if (former.reason == release_reason::none && step.job->inherited)
        former = {entry.lastEndedRun, release_reason::earlier_owner, former.starts};
    m_orders.emplace_back(start_order{executor.info.id, task, run, record.spec,
                                      m_jobs.checkpointOf(task), leaseEnd,
                                      executor.info.startedUnixMs, former});
    ++entry.former.starts;
}

std::unordered_map<std::string, pool_load> scheduler::poolLoads(boot_time now) const
{
    std::unordered_map<std::string, pool_load> loads;
    for (const auto &[id, executor] : m_executors.all()) {
        if (!isUsable(executor, now))
            continue;
        pool_load &load = loads[executor.info.pool];
        load.capacity += executor.info.capacity;
        ++load.executors;
    }
    for (const job_entry *const open : m_jobs.open()) {
        const job_entry &job = *open;
        pool_load &load = loads[job.record.pool];
        for (const occurrence_entry &occurrence : job.occurrences) {
            const bool late = now + occurrence.remainingPath > occurrence.due + job.objective;
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
                const step_entry &step = occurrence.steps[index];
                const job_step &jobStep = job.record.steps[index];
                const auto open = static_cast<std::int64_t>(step.tasks.size() - step.done);
                if (!jobStep.longRunning)
                    load.remainingCoreMs += taskCoreMs(jobStep)
                        * (static_cast<double>(open) - static_cast<double>(step.assigned) / 2);
                if (!step.open || open == 0)
                    continue;
                const resources each = reservation(jobStep);
                const resources all = each * open;
                (jobStep.longRunning ? load.longRunningDemand : load.demand) += all;
                if (late && !jobStep.longRunning)
                    load.lateDemand += all;
                if ((jobStep.longRunning || jobStep.gang) && jobStep.maxPerExecutor != 0)
                    load.minDistinctExecutors = std::max(
                        load.minDistinctExecutors,
                        (step.tasks.size() + jobStep.maxPerExecutor - 1) / jobStep.maxPerExecutor);
            }
        }
    }
    return loads;
}

} // namespace azurelb
