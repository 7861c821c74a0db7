#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/task_id.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace azurelb::soak {

/** What callers and executors see, checked against what azurelb promises. */
class run_audit
{
public:
    /** A caller hands the job in; its tasks run with the specification. */
    void submitted(const job_id &job, const std::string &spec);
    /** The job was accepted: it must come to an end. */
    void accepted(const job_id &job) { m_accepted.insert(job); }
    /** Every attempt to hand the job in was refused as not run. */
    void refused(const job_id &job) { m_refused.insert(job); }
    void cancelled(const job_id &job) { m_cancelled.insert(job); }

    /** An executor begins a run; otherRuns says how many runs of the task are under way. */
    void started(const task_id &task, const std::string &spec, std::size_t otherRuns,
                 boot_time now);
    /** A run ended as done, whether or not anybody knows. */
    void done(const task_id &task) { m_done.insert(task); }
    /** An end was acknowledged that came at the time given. */
    void acknowledged(const task_id &task, bool done, boot_time endedAt);

    /** A caller was told that the job is completed. */
    void completed(const job_id &job, std::uint32_t tasks);

    /** Jobs that were accepted, are not cancelled and have not been seen to end. */
    [[nodiscard]] std::set<job_id> unfinishedJobs() const;
    void ended(const job_id &job) { m_ended.insert(job); }

    void addViolation(const std::string &violation) { m_violations.push_back(violation); }
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] std::size_t startCount() const noexcept { return m_starts.size(); }
    [[nodiscard]] std::size_t jobCount() const noexcept { return m_accepted.size(); }

private:
    struct start_record
    {
        task_id task{};
        boot_time at{};
    };

    std::map<job_id, std::string> m_specs{};
    std::set<job_id> m_accepted{};
    std::set<job_id> m_refused{};
    std::set<job_id> m_cancelled{};
    std::set<job_id> m_ended{};
    /** Tasks of which a run has ended as done. */
    std::set<task_id> m_done{};
    /** Those of which such an end was acknowledged. */
    std::set<task_id> m_acknowledged{};
    std::vector<start_record> m_starts{};
    std::vector<std::string> m_violations{};
};

} // namespace azurelb::soak
