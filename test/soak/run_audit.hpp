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
    void accepted(const job_id &job) { m_accepted.insert(job); }
    /** Every attempt to submit the job was refused, so none of its tasks may run. */
    void refused(const job_id &job) { m_refused.insert(job); }
    void cancelled(const job_id &job) { m_cancelled.insert(job); }

    /** An executor starts a run while otherRuns runs of the same task are active. */
    void started(const task_id &task, const std::string &spec, std::size_t otherRuns,
                 boot_time now);
    /** A run succeeded, whether or not its end has been reported yet. */
    void done(const task_id &task) { m_done.insert(task); }
    /** The daemon acknowledged the end of a run that ended at endedAt. */
    void acknowledged(const task_id &task, bool done, boot_time endedAt);

    /** A caller received the state "completed" for the job. */
    void completed(const job_id &job, std::uint32_t tasks);

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
    [[nodiscard]] std::size_t jobCount() const noexcept { return m_accepted.size(); }

private:
    struct start_record
    {
        task_id task{};
        boot_time at{};
        bool countsAsAfterDone{false};
    };

    std::map<job_id, std::string> m_specs{};
    std::set<job_id> m_accepted{};
    std::set<job_id> m_refused{};
    std::set<job_id> m_cancelled{};
    std::set<job_id> m_ended{};
    /** Tasks with a successful run. */
    std::set<task_id> m_done{};
    /** Tasks whose successful run was acknowledged. */
    std::set<task_id> m_acknowledged{};
    std::vector<start_record> m_starts{};
    std::size_t m_startsAfterDone{0};
    std::size_t m_concurrentStarts{0};
    std::vector<std::string> m_violations{};
};

} // namespace azurelb::soak
