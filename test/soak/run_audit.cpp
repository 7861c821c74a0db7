#include "run_audit.hpp"

#include <algorithm>
#include <chrono>

namespace azurelb::soak {

namespace {

/** A job that was accepted so long before must be counted as waiting until it has begun: the time
    for it to be visible (visible_ms, 3 s) and 2 s. */
constexpr std::chrono::milliseconds waitingBound{5000};

} // namespace

void run_audit::submitted(const job_id &job, const std::string &spec)
{
    m_specs[job] = spec;
}

void run_audit::started(const task_id &task, const std::string &spec, std::size_t otherRuns,
                        boot_time now)
{
    const std::string name = toString(task);
    const auto known = m_specs.find(task.job);
    if (known == m_specs.end() || known->second != spec)
        addViolation("a task was started that no caller submitted: " + name);
    if (otherRuns > 0) {
        ++m_concurrentStarts;
        addViolation("two concurrent runs of a task: " + name);
    }
    if (m_refused.contains(task.job))
        addViolation("a task was started although all attempts to submit its job were refused: "
                     + name);
    if (m_unknownJobs.contains(task.job))
        addViolation("a task was started although its job was said not to exist when it was "
                     "cancelled: "
                     + name);
    const bool wasDone = m_acknowledged.contains(task);
    if (wasDone) {
        ++m_startsAfterDone;
        addViolation("a task was started after its success was acknowledged: " + name);
    }
    m_starts.push_back({task, now, wasDone});
    m_begun.insert(task.job);
}

void run_audit::reportedUnknown(const job_id &job)
{
    m_unknownJobs.insert(job);
    if (m_begun.contains(job))
        addViolation("a job was said not to exist although a task of it had begun: " + job);
}

void run_audit::acknowledged(const task_id &task, bool done, boot_time endedAt)
{
    if (!done)
        return;
    m_acknowledged.insert(task);
    bool again = false;
    for (start_record &each : m_starts) {
        // No run lasts less than a millisecond, so a start of the same time is that of a later run.
        if (each.task != task || each.at < endedAt)
            continue;
        again = true;
        m_startsAfterDone += each.countsAsAfterDone ? 0 : 1;
        each.countsAsAfterDone = true;
    }
    if (again)
        addViolation("the end of a run was acknowledged after a later start: " + toString(task));
}

void run_audit::completed(const job_id &job, std::uint32_t occurrences, std::uint32_t tasks)
{
    ended(job);
    for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
        for (std::uint32_t index = 0; index < tasks; ++index) {
            const task_id task{job, occurrence, 0, index};
            if (!m_done.contains(task))
                addViolation("a job was reported as completed before its task succeeded: "
                             + toString(task));
        }
    }
}

void run_audit::waiting(std::size_t count, boot_time askedAt)
{
    const auto overdue = static_cast<std::size_t>(
        std::count_if(m_accepted.begin(), m_accepted.end(), [&](const auto &each) {
            const auto &[job, at] = each;
            return at + waitingBound <= askedAt && !m_begun.contains(job)
                && !m_cancelled.contains(job) && !m_ended.contains(job);
        }));
    ++m_waitingAnswers;
    m_mostWaiting = std::max(m_mostWaiting, overdue);
    if (2 * count < overdue)
        addViolation(std::to_string(count) + " jobs were said to wait while "
                     + std::to_string(overdue) + " did");
}

std::set<job_id> run_audit::unfinishedJobs() const
{
    std::set<job_id> unfinished;
    for (const auto &[job, at] : m_accepted) {
        if (!m_ended.contains(job) && !m_cancelled.contains(job))
            unfinished.insert(job);
    }
    return unfinished;
}

} // namespace azurelb::soak
