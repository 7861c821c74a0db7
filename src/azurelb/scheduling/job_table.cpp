#include <azurelb/catalogue/queue_entry.hpp>
#include <azurelb/jobs/job_work.hpp>
#include <azurelb/scheduling/job_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

milliseconds remainingCriticalPath(const job_record &record, const occurrence_entry &occurrence)
{
    std::vector<job_step> remaining = record.steps;
    for (std::size_t index = 0; index < remaining.size(); ++index) {
        const step_entry &step = occurrence.steps[index];
        if (step.done == step.tasks.size())
            remaining[index].estimate = milliseconds{0};
    }
    return criticalPathLength(remaining);
}

std::vector<occurrence_entry>::iterator positionOf(std::vector<occurrence_entry> &occurrences,
                                                   std::uint32_t number) noexcept
{
    return std::lower_bound(
        occurrences.begin(), occurrences.end(), number,
        [](const occurrence_entry &each, std::uint32_t wanted) { return each.number < wanted; });
}

/** Returns how many occurrences of the job may be open at a time. */
std::size_t openOccurrenceLimit(const job_record &record)
{
    std::size_t tasks = 0;
    for (const job_step &each : record.steps)
        tasks += each.taskCount;
    return std::clamp(job_table::maxOpenTasks / std::max<std::size_t>(tasks, 1), std::size_t{1},
                      job_table::maxOpenOccurrences);
}

boot_time dueTime(const job_entry &job, std::uint32_t number, milliseconds unixOffset)
{
    if (job.record.repeats == 0)
        return job.acceptedAt;
    return boot_time{job.record.firstDue + number * job.record.interval - unixOffset};
}

} // namespace

bool job_table::add(job_record record, const job_progress &stored, store_revision storedRevision,
                    bool inherited, boot_time acceptedAt)
{
    const auto [place, isNew] = m_jobs.try_emplace(record.id);
    if (!isNew)
        return false;
    job_entry &job = place->second;
    job.record = std::move(record);
    job.inherited = inherited;
    job.acceptedAt = acceptedAt;
    job.storedRevision = storedRevision;
    // The queue's present limit replaces it, unless the queue has been removed.
    job.maxAttempts = job.record.maxAttempts;
    job.criticalPath = criticalPathLength(job.record.steps);
    job.shortWorkCoreMs = shortWorkCoreMs(job.record.steps);
    job.hasGang = std::any_of(job.record.steps.begin(), job.record.steps.end(),
                              [](const job_step &step) { return step.gang; });
    job.state = stored.state;
    job.mayHaveBegun = stored.state != job_state::pending;
    if (isFinal(stored.state)) {
        job.endedAt = acceptedAt + (stored.endedAt - job.record.acceptedAt);
        return true;
    }
    addOpen(job);
    m_notDue.push_back(job.record.id);
    restore(job, stored);
    return true;
}

void job_table::restore(job_entry &job, const job_progress &stored)
{
    job.completedOccurrences = stored.completedOccurrences;
    for (const task_progress &each : stored.tasks) {
        if (!findOccurrence(job, each.occurrence))
            openOccurrence(job, each.occurrence, job.acceptedAt);
        occurrence_entry &occurrence = *findOccurrence(job, each.occurrence);
        if (each.step >= occurrence.steps.size()
            || each.index >= occurrence.steps[each.step].tasks.size())
            continue;
        step_entry &step = occurrence.steps[each.step];
        task_entry &task = step.tasks[each.index];
        task.failedRuns = each.failedRuns;
        task.lastEndedRun = each.lastEndedRun;
        task.checkpoint = each.checkpoint;
        task.done = each.done;
        step.done += each.done ? 1 : 0;
    }
    for (occurrence_entry &each : job.occurrences) {
        each.stepsDone = static_cast<std::uint32_t>(
            std::count_if(each.steps.begin(), each.steps.end(),
                          [](const step_entry &step) { return step.done == step.tasks.size(); }));
        openSteps(job.record, each);
        for (std::size_t step = 0; step < each.steps.size(); ++step) {
            if (job.record.steps[step].gang)
                uniteCheckpoints(each.steps[step]);
        }
    }
}

/** Earlier versions have stored a checkpoint for each member of a gang. Any of them is valid for
   all members. */
void job_table::uniteCheckpoints(step_entry &step)
{
    const auto saved = std::find_if(step.tasks.begin(), step.tasks.end(),
                                    [](const auto &task) { return !task.checkpoint.empty(); });
    if (saved == step.tasks.end())
        return;
    const std::string checkpoint = saved->checkpoint;
    for (task_entry &each : step.tasks)
        each.checkpoint.clear();
    step.tasks.front().checkpoint = checkpoint;
}

void job_table::applyQueueSettings(job_entry &job, const queue_entry &queue) const noexcept
{
    job.maxAttempts = queue.maxAttempts;
    job.priority = queue.priority;
    job.objective =
        std::chrono::duration_cast<milliseconds>(job.criticalPath * queue.stretch) + queue.target;
}

bool job_table::cancel(const job_id &id, boot_time now)
{
    job_entry *const job = find(id);
    if (!job || job->cancelled || isFinal(job->state))
        return false;
    job->cancelled = true;
    finish(*job, job_state::cancelled, now);
    return true;
}

void job_table::erase(const job_id &id)
{
    if (job_entry *const job = find(id); job && !isFinal(job->state))
        removeOpen(*job);
    m_jobs.erase(id);
}

job_entry *job_table::find(const job_id &id) noexcept
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const job_entry *job_table::find(const job_id &id) const noexcept
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

occurrence_entry *job_table::findOccurrence(job_entry &job, std::uint32_t number) noexcept
{
    const auto found = positionOf(job.occurrences, number);
    return found == job.occurrences.end() || found->number != number ? nullptr : &*found;
}

step_entry *job_table::findStep(const task_id &task) noexcept
{
    job_entry *const job = find(task.job);
    occurrence_entry *const occurrence = job ? findOccurrence(*job, task.occurrence) : nullptr;
    if (!occurrence || task.step >= occurrence->steps.size())
        return nullptr;
    return &occurrence->steps[task.step];
}

task_entry *job_table::find(const task_id &task) noexcept
{
    step_entry *const step = findStep(task);
    return step && task.index < step->tasks.size() ? &step->tasks[task.index] : nullptr;
}

void job_table::addOpen(job_entry &job)
{
    const auto append = [&job](std::vector<job_entry *> &to, std::size_t job_entry::*index) {
        job.*index = to.size();
        to.push_back(&job);
    };
    append(m_open, &job_entry::openIndex);
    append(m_openOfPool[job.record.pool], &job_entry::poolIndex);
}

void job_table::removeOpen(job_entry &job)
{
    const auto remove = [&job](std::vector<job_entry *> &from, std::size_t job_entry::*index) {
        job_entry *const last = from.back();
        from[job.*index] = last;
        last->*index = job.*index;
        from.pop_back();
    };
    remove(m_open, &job_entry::openIndex);
    remove(m_openOfPool.at(job.record.pool), &job_entry::poolIndex);
}

const std::vector<job_entry *> &job_table::openOf(const std::string &pool) const
{
    static const std::vector<job_entry *> none{};
    const auto found = m_openOfPool.find(pool);
    return found == m_openOfPool.end() ? none : found->second;
}

void job_table::openOccurrence(job_entry &job, std::uint32_t number, boot_time due)
{
    occurrence_entry opened;
    opened.number = number;
    opened.due = due;
    for (const job_step &each : job.record.steps) {
        step_entry step;
        step.tasks.resize(each.taskCount);
        opened.steps.push_back(std::move(step));
    }
    openSteps(job.record, opened);
    job.occurrences.insert(positionOf(job.occurrences, number), std::move(opened));
}

void job_table::openSteps(const job_record &record, occurrence_entry &occurrence)
{
    const auto isDone = [&occurrence](std::uint32_t index) {
        return index >= occurrence.steps.size()
            || occurrence.steps[index].done == occurrence.steps[index].tasks.size();
    };
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const auto &after = record.steps[index].after;
        occurrence.steps[index].open = std::all_of(after.begin(), after.end(), isDone);
    }
    occurrence.remainingPath = remainingCriticalPath(record, occurrence);
}

void job_table::openDueOccurrences(boot_time now, milliseconds unixOffset)
{
    std::erase_if(m_notDue, [&](const job_id &id) {
        job_entry *const job = find(id);
        if (!job || isFinal(job->state))
            return true;
        removeCompletedOccurrences(*job);
        const std::uint32_t count = occurrenceCount(job->record);
        const std::size_t limit = openOccurrenceLimit(job->record);
        while (true) {
            const auto next = job->completedOccurrences.firstAbsent(job->nextOccurrence);
            if (next >= count)
                return true;
            const auto number = static_cast<std::uint32_t>(next);
            const boot_time due = dueTime(*job, number, unixOffset);
            occurrence_entry *const known = findOccurrence(*job, number);
            if (due > now || (!known && job->occurrences.size() >= limit))
                return false;
            if (known)
                known->due = due;
            else
                openOccurrence(*job, number, due);
            job->nextOccurrence = number + 1;
        }
    });
}

void job_table::removeCompletedOccurrences(job_entry &job)
{
    std::erase_if(job.occurrences, [&job](const occurrence_entry &occurrence) {
        return job.completedOccurrences.contains(occurrence.number)
            && std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                           [](const step_entry &step) { return step.assigned == 0; });
    });
}

void job_table::openReportedOccurrence(const task_id &task)
{
    job_entry *const job = find(task.job);
    if (!job || isFinal(job->state) || task.occurrence >= occurrenceCount(job->record)
        || findOccurrence(*job, task.occurrence)
        || job->completedOccurrences.contains(task.occurrence))
        return;
    openOccurrence(*job, task.occurrence, job->acceptedAt);
}

void job_table::assign(const task_id &task, const executor_id &executor)
{
    task_entry *const entry = find(task);
    if (!entry)
        return;
    if (!entry->assigned) {
        entry->assigned = true;
        ++findStep(task)->assigned;
    }
    entry->executor = executor;
}

void job_table::recordStart(job_entry &job)
{
    if (job.state != job_state::pending)
        return;
    job.state = job_state::running;
    markDirty(job);
}

void job_table::recordBegun(const job_id &id)
{
    if (job_entry *const job = find(id))
        job->mayHaveBegun = true;
}

void job_table::recordNotStarted(const job_id &id)
{
    job_entry *const job = find(id);
    if (!job || job->state != job_state::running || job->mayHaveBegun)
        return;
    for (const occurrence_entry &occurrence : job->occurrences) {
        for (const step_entry &step : occurrence.steps) {
            if (step.assigned > 0)
                return;
        }
    }
    job->state = job_state::pending;
    markDirty(*job);
}

void job_table::release(const task_id &task)
{
    task_entry *const entry = find(task);
    if (!entry)
        return;
    if (entry->assigned) {
        entry->assigned = false;
        --findStep(task)->assigned;
    }
    entry->executor.clear();
}

task_entry *job_table::findCheckpointHolder(const task_id &task)
{
    task_entry *const entry = find(task);
    const bool isMember = entry && find(task.job)->record.steps[task.step].gang;
    return isMember ? &findStep(task)->tasks.front() : entry;
}

void job_table::recordCheckpoint(const task_id &task, run_number run, const std::string &checkpoint)
{
    task_entry *const holder = findCheckpointHolder(task);
    if (!holder || checkpoint.empty() || run < holder->checkpointRun)
        return;
    holder->checkpoint = checkpoint;
    holder->checkpointRun = run;
}

const std::string &job_table::checkpointOf(const task_id &task)
{
    static const std::string none{};
    const task_entry *const holder = findCheckpointHolder(task);
    return holder ? holder->checkpoint : none;
}

end_effect job_table::applyEnd(const ended_run &end, const executor_id &executor, boot_time now)
{
    job_entry *const job = find(end.task.job);
    task_entry *const task = find(end.task);
    if (!job || !task || isFinal(job->state) || task->done)
        return end_effect::none;
    job->mayHaveBegun = true;
    const job_step &step = job->record.steps[end.task.step];
    if (end.end == run_end::done && !step.longRunning)
        return applyDone(*job, end.task, now);
    const bool isLatest = end.run > task->lastEndedRun;
    if (isLatest) {
        task->lastEndedRun = end.run;
        recordCheckpoint(end.task, end.run, end.checkpoint);
        markDirty(*job);
    }
    if (end.end == run_end::failed && !step.longRunning)
        return applyFailure(*job, end, executor, now);
    if (end.end == run_end::failed)
        task->lastFailedOn = executor;
    return isLatest ? end_effect::task_requeued : end_effect::none;
}

end_effect job_table::applyDone(job_entry &job, const task_id &task, boot_time now)
{
    occurrence_entry &occurrence = *findOccurrence(job, task.occurrence);
    step_entry &step = occurrence.steps[task.step];
    markDirty(job);
    // A gang is done as soon as one of its members is done.
    const bool gang = job.record.steps[task.step].gang;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if ((gang || index == task.index) && !std::exchange(step.tasks[index].done, true))
            ++step.done;
    }
    if (step.done < step.tasks.size())
        return end_effect::task_done;
    ++occurrence.stepsDone;
    openSteps(job.record, occurrence);
    if (occurrence.stepsDone < occurrence.steps.size())
        return end_effect::task_done;
    job.completedOccurrences.insert(task.occurrence);
    if (job.completedOccurrences.size() < occurrenceCount(job.record))
        return end_effect::task_done;
    finish(job, job_state::completed, now);
    return end_effect::job_completed;
}

end_effect job_table::applyFailure(job_entry &job, const ended_run &end,
                                   const executor_id &executor, boot_time now)
{
    task_entry &task = *find(end.task);
    auto &failed = task.failedRuns;
    if (std::find(failed.begin(), failed.end(), end.run) != failed.end())
        return end_effect::none;
    failed.push_back(end.run);
    task.lastFailedOn = executor;
    markDirty(job);
    if (job.maxAttempts == 0 || countFailedRuns(job, end.task) < job.maxAttempts)
        return end_effect::task_requeued;
    finish(job, job_state::failed, now);
    return end_effect::job_failed;
}

/** The members of a gang share a run number; the failure of one ends the run of all. */
std::size_t job_table::countFailedRuns(const job_entry &job, const task_id &task)
{
    if (!job.record.steps[task.step].gang)
        return find(task)->failedRuns.size();
    std::set<run_number> runs;
    for (const task_entry &member : findStep(task)->tasks)
        runs.insert(member.failedRuns.begin(), member.failedRuns.end());
    return runs.size();
}

bool job_table::isExhausted(const job_entry &job)
{
    if (job.maxAttempts == 0)
        return false;
    for (const occurrence_entry &occurrence : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const task_id task{job.record.id, occurrence.number, step, index};
                if (tasks[index].done || tasks[index].failedRuns.empty())
                    continue;
                if (countFailedRuns(job, task) >= job.maxAttempts)
                    return true;
                // The count of a gang is the same for all members.
                if (job.record.steps[step].gang)
                    break;
            }
        }
    }
    return false;
}

std::vector<job_id> job_table::failExhausted(boot_time now)
{
    std::vector<job_id> exhausted;
    for (const job_entry *const job : m_open) {
        if (isExhausted(*job))
            exhausted.push_back(job->record.id);
    }
    for (const job_id &id : exhausted)
        finish(*find(id), job_state::failed, now);
    return exhausted;
}

void job_table::finish(job_entry &job, job_state state, boot_time now)
{
    job.state = state;
    job.endedAt = now;
    removeOpen(job);
    markDirty(job);
}

void job_table::markDirty(job_entry &job)
{
    if (!std::exchange(job.dirty, true))
        m_dirty.push_back(job.record.id);
}

std::vector<job_id> job_table::takeDirtyJobs()
{
    for (const job_id &id : m_dirty) {
        if (job_entry *const job = find(id))
            job->dirty = false;
    }
    return std::exchange(m_dirty, {});
}

job_progress job_table::progressOf(const job_entry &job)
{
    job_progress progress;
    progress.state = job.state;
    if (isFinal(job.state)) {
        progress.endedAt = job.record.acceptedAt + (job.endedAt - job.acceptedAt);
        return progress;
    }
    progress.completedOccurrences = job.completedOccurrences;
    for (const occurrence_entry &occurrence : job.occurrences) {
        if (occurrence.stepsDone == occurrence.steps.size())
            continue;
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const task_entry &task = tasks[index];
                if (task.done || task.lastEndedRun != 0 || !task.checkpoint.empty())
                    progress.tasks.push_back({occurrence.number, step, index, task.done,
                                              task.failedRuns, task.lastEndedRun, task.checkpoint});
            }
        }
    }
    return progress;
}

std::size_t job_table::countPendingJobs(const std::string &queue) const
{
    const auto counts = [&](const job_entry *job) {
        return job->state == job_state::pending && job->record.repeats == 0
            && job->record.queue == queue;
    };
    return static_cast<std::size_t>(std::count_if(m_open.begin(), m_open.end(), counts));
}

std::vector<job_id> job_table::jobsEndedBefore(boot_time limit) const
{
    std::vector<job_id> ended;
    for (const auto &[id, job] : m_jobs) {
        if (isFinal(job.state) && !job.dirty && job.endedAt < limit)
            ended.push_back(id);
    }
    return ended;
}

} // namespace azurelb
