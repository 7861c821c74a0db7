#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/task_id.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace azurelb::soak {

/** Checks the observations of callers and executors against the guarantees of azurelb. */
class run_audit
{
public:
    /** A caller submits the job; its tasks must run with this specification. */
    void submitted(const job_id &job, const std::string &spec);
    /** The job was accepted and must end. */
    void accepted(const job_id &job, boot_time at) { m_accepted.emplace(job, at); }
    /** Every attempt to submit the job was refused, so none of its tasks may run. */
    void refused(const job_id &job) { m_refused.insert(job); }
    void cancelled(const job_id &job) { m_cancelled.insert(job); }
    /** A caller that had submitted the job without an answer cancelled it, and was told that it
       does not exist: none of its tasks may run, before or after. */
    void reportedUnknown(const job_id &job);

    /** An executor starts a run while otherRuns runs of the same task are active. */
    void started(const task_id &task, const std::string &spec, std::size_t otherRuns,
                 boot_time now);
    /** A run succeeded, whether or not its end has been reported yet. */
    void done(const task_id &task) { m_done.insert(task); }
    /** The daemon acknowledged the end of a run that ended at endedAt. */
    void acknowledged(const task_id &task, bool done, boot_time endedAt);

    /** A caller received the state "completed" for the job. */
    void completed(const job_id &job, std::uint32_t occurrences, std::uint32_t tasks);

    /** A caller was told how many jobs wait; its request was sent at the given time. */
    void waiting(std::size_t count, boot_time askedAt);

    /** Accepted jobs that were neither cancelled nor observed to end. */
    [[nodiscard]] std::set<job_id> unfinishedJobs() const;
    void ended(const job_id &job) { m_ended.insert(job); }

    void addViolation(const std::string &violation) { m_violations.push_back(violation); }
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] std::size_t startCount() const noexcept { return m_starts.size(); }
    /** Starts after a run of the task had ended as done, if that end was acknowledged then or
        later. */
    [[nodiscard]] std::size_t startsAfterDone() const noexcept { return m_startsAfterDone; }
    /** Starts while another run of the task was active. */
    [[nodiscard]] std::size_t concurrentStarts() const noexcept { return m_concurrentStarts; }
    /** Answers with the number of waiting jobs that were checked. */
    [[nodiscard]] std::size_t waitingAnswers() const noexcept { return m_waitingAnswers; }
    /** Greatest number of jobs that had to be counted as waiting. */
    [[nodiscard]] std::size_t mostWaiting() const noexcept { return m_mostWaiting; }
    /** Cancellations that were answered as those of an unknown job. */
    [[nodiscard]] std::size_t unknownJobCount() const noexcept { return m_unknownJobs.size(); }
    [[nodiscard]] std::size_t jobCount() const noexcept { return m_accepted.size(); }

private:
    struct start_record
    {
        task_id task{};
        boot_time at{};
        bool countsAsAfterDone{false};
    };

    std::map<job_id, std::string> m_specs{};
    std::map<job_id, boot_time> m_accepted{};
    std::set<job_id> m_refused{};
    std::set<job_id> m_cancelled{};
    std::set<job_id> m_unknownJobs{};
    std::set<job_id> m_ended{};
    /** Tasks with a successful run. */
    std::set<task_id> m_done{};
    /** Tasks whose successful run was acknowledged. */
    std::set<task_id> m_acknowledged{};
    std::vector<start_record> m_starts{};
    std::set<job_id> m_begun{};
    std::size_t m_startsAfterDone{0};
    std::size_t m_concurrentStarts{0};
    std::size_t m_waitingAnswers{0};
    std::size_t m_mostWaiting{0};
    std::vector<std::string> m_violations{};
};

} // namespace azurelb::soak
