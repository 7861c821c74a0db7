#include <azurelb/scheduling/scheduler.hpp>

#include <algorithm>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Time after which executors are reserved for a gang that finds no room. */
constexpr milliseconds gangReservationDelay{1000};

/** Returns how often the request fits into the free resources, up to the limit. */
std::size_t countFitting(const resources &request, const resources &free, std::size_t limit)
{
    std::size_t count = limit;
    for (const auto amount : {&resources::cpu, &resources::memory, &resources::accelerators}) {
        if (free.*amount < request.*amount)
            return 0;
        if (request.*amount > 0)
            count = std::min(count, static_cast<std::size_t>(free.*amount / request.*amount));
    }
    return count;
}

/** Returns the number of members of the gang that fit into the free resources of the executor. */
std::size_t countMembers(const job_step &gang, const resources &free)
{
    const std::size_t limit =
        gang.maxPerExecutor == 0 ? std::size_t{gang.taskCount} : std::size_t{gang.maxPerExecutor};
    return countFitting(reservation(gang), free, limit);
}

/** Returns the expected time until the run ends. A run that takes longer than estimated is expected
    to take as long again as it is overdue. */
milliseconds remainingTime(const assignment &run, boot_time now)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - run.requestedAt);
    return std::chrono::abs(run.estimate - elapsed);
}

} // namespace

/** Places all members of the gang or none: a partial gang would hold resources while it waits. */
void scheduler::placeGang(const waiting_step &step, pool_candidates &pool, boot_time now)
{
    if (step.occurrence->steps[step.step].assigned > 0)
        return;
    const std::vector<candidate *> chosen = planGang(step, pool);
    if (chosen.empty())
        return;
    const run_number run = ++m_lastRun;
    for (std::uint32_t index = 0; index < chosen.size(); ++index)
        startOn(*chosen[index], step, index, run, now);
    recordStart(step, now);
}

std::vector<scheduler::candidate *> scheduler::planGang(const waiting_step &step,
                                                        pool_candidates &pool) const
{
    const job_step &jobStep = step.job->record.steps[step.step];
    const auto &tasks = step.occurrence->steps[step.step].tasks;
    const team_entry *const team = findTeam(m_catalogue, step.job->record.team);
    if (!m_executors.teams().admits(team, jobStep.request * jobStep.taskCount)
        || !mayHoldGang(jobStep, pool))
        return {};
    const resources wanted = reservation(jobStep);
    const std::size_t rejectedBefore = pool.rejected.size();
    std::vector<candidate *> planned;
    for (const task_entry &task : tasks) {
        candidate *const chosen = chooseExecutor(step, task, pool, team);
        if (!chosen)
            break;
        planned.push_back(chosen);
        const resources room = roomOn(*chosen->executor, ++chosen->plannedMembers);
        chosen->free = fits({}, room) ? chosen->free - wanted : room;
    }
    for (candidate *const each : planned) {
        each->plannedMembers = 0;
        each->free = roomOn(*each->executor);
    }
    if (planned.size() == tasks.size())
        return planned;
    // What the planned members left is not what other steps find.
    if (!planned.empty())
        pool.rejected.resize(rejectedBefore);
    return {};
}

std::vector<scheduler::waiting_step> scheduler::gangsThatWaitLong(const std::string &name,
                                                                  const pool_candidates &pool,
                                                                  boot_time now) const
{
    std::vector<waiting_step> gangs;
    for (job_entry *const job : m_jobs.openOf(name)) {
        if (!job->hasGang || !mayPlace(*job, pool))
            continue;
        for (occurrence_entry &occurrence : job->occurrences) {
            if (now - occurrence.due < gangReservationDelay)
                continue;
            for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
                const step_entry &step = occurrence.steps[index];
                if (job->record.steps[index].gang && step.open && step.done + step.assigned == 0)
                    gangs.push_back({job, &occurrence, index, {}});
            }
        }
    }
    std::sort(gangs.begin(), gangs.end(), [](const waiting_step &left, const waiting_step &right) {
        return left.occurrence->due < right.occurrence->due;
    });
    return gangs;
}

void scheduler::reserveForWaitingGang(const std::string &name, pool_candidates &pool,
                                      boot_time now) const
{
    const std::vector<waiting_step> gangs = gangsThatWaitLong(name, pool, now);
    if (gangs.empty())
        return;
    std::vector<drain> drains;
    for (candidate &each : pool.executors)
        drains.push_back(makeDrain(each, now));
    std::sort(drains.begin(), drains.end(),
              [](const auto &left, const auto &right) { return left.time < right.time; });
    for (const waiting_step &gang : gangs) {
        const job_step &step = gang.job->record.steps[gang.step];
        if (!m_executors.teams().admits(findTeam(m_catalogue, gang.job->record.team),
                                        step.request * step.taskCount))
            continue;
        std::vector<candidate *> used;
        std::size_t members = 0;
        milliseconds start{0};
        for (const drain &each : drains) {
            const bool isAllowed = each.from->executor->hasLabel(step.requiredLabel);
            const std::size_t held = isAllowed ? countMembers(step, each.free) : 0;
            if (held == 0)
                continue;
            used.push_back(each.from);
            members += held;
            start = each.time;
            if (members >= step.taskCount)
                break;
        }
        if (members < step.taskCount)
            continue;
        pool.reservedFor = gang;
        for (candidate *const each : used)
            each->availableFor = start;
        return;
    }
}

scheduler::drain scheduler::makeDrain(candidate &of, boot_time now)
{
    drain made{&of, milliseconds{0}, of.executor->info.capacity};
    for (const auto &[task, run] : of.executor->assignments) {
        if (run.longRunning)
            made.free -= run.reserved;
        else
            made.time = std::max(made.time, remainingTime(run, now));
    }
    return made;
}

bool scheduler::isKeptFrom(const waiting_step &step, const candidate &executor,
                           const pool_candidates &pool)
{
    if (!executor.availableFor || !pool.reservedFor)
        return false;
    const waiting_step &gang = *pool.reservedFor;
    if (step.occurrence == gang.occurrence && step.step == gang.step)
        return false;
    const job_step &jobStep = step.job->record.steps[step.step];
    return jobStep.longRunning || jobStep.estimate.count() == 0
        || jobStep.estimate > *executor.availableFor;
}

bool scheduler::mayHoldGang(const job_step &step, const pool_candidates &pool)
{
    std::size_t members = 0;
    for (const candidate &each : pool.executors) {
        if (each.executor->hasLabel(step.requiredLabel))
            members += countMembers(step, each.free);
    }
    return members >= step.taskCount;
}

} // namespace azurelb
