#pragma once

#include <azurelb/catalogue/fwd.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/fwd.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/job_entry.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace azurelb {

/** What an end meant for its job. */
enum class end_effect {
    /** It was known, or its job is over or unknown. */
    none,
    task_done,
    task_requeued,
    job_completed,
    job_failed
};

/**
 * Jobs and the progress of their tasks: which steps are open, what an end means, what of it must
 * be stored. It knows nothing of executors but the names it is given.
 */
class job_table
{
public:
    /** Adds a job with what is stored of its progress. False if it is there already. */
    bool add(job_record record, const job_progress &stored, store_revision storedRevision,
             bool inherited, boot_time acceptedAt);

    /** Takes priority, attempts and objective of the job's queue. */
    void applyQueueSettings(job_entry &job, const queue_entry &queue) const noexcept;

    /** Marks the job cancelled. False if it is unknown or over. */
    bool cancel(const job_id &id, boot_time now);

    /** Forgets a job that is over. */
    void erase(const job_id &id);

    [[nodiscard]] job_entry *find(const job_id &id) noexcept;
    [[nodiscard]] const job_entry *find(const job_id &id) const noexcept;
    [[nodiscard]] task_entry *find(const task_id &task) noexcept;
    [[nodiscard]] step_entry *findStep(const task_id &task) noexcept;

    /** Opens the occurrences that are due. The offset leads from boot time to Unix time. */
    void openDueOccurrences(boot_time now, std::chrono::milliseconds unixOffset);

    /**
     * Opens the occurrence of a task that an executor reports: an earlier owner found it due. Its
     * reports may arrive before this owner's first decision, or by a clock that is ahead of ours.
     */
    void openReportedOccurrence(const task_id &task);

    /** When the next occurrence comes due; nothing if none will. */
    [[nodiscard]] std::optional<boot_time> nextDueTime(std::chrono::milliseconds unixOffset) const;

    /** Notes that a run of the task may exist on the executor. */
    void assign(const task_id &task, const executor_id &executor);

    /** The task waits again, from the checkpoint if one is given. */
    void release(const task_id &task, const std::string &checkpoint);

    /** Applies the end of a run. It does not release the assignment. */
    end_effect applyEnd(const ended_run &end, const executor_id &executor, boot_time now);

    /** A checkpoint that a run has saved. Not stored by itself. */
    void recordCheckpoint(const task_id &task, const std::string &checkpoint);

    /** What is to be stored of the job. */
    [[nodiscard]] static job_progress progressOf(const job_entry &job);

    /** Jobs whose progress differs from the store's, each once. */
    [[nodiscard]] std::vector<job_id> takeDirtyJobs();
    void markDirty(job_entry &job);

    /** Jobs that are not over. */
    [[nodiscard]] const std::unordered_set<job_id> &open() const noexcept { return m_open; }
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }

    /** Jobs of the queue, but scheduled ones, of which no task has started. */
    [[nodiscard]] std::size_t countPendingJobs(const std::string &queue) const;

    /** Jobs that were over before the time. */
    [[nodiscard]] std::vector<job_id> jobsEndedBefore(boot_time limit) const;

private:
    void openOccurrence(job_entry &job, std::uint32_t number, boot_time due);
    void restore(job_entry &job, const job_progress &stored);
    static void openSteps(const job_record &record, occurrence_entry &occurrence);
    static occurrence_entry *findOccurrence(job_entry &job, std::uint32_t number) noexcept;
    end_effect applyDone(job_entry &job, const task_id &task, boot_time now);
    end_effect applyFailure(job_entry &job, const ended_run &end, const executor_id &executor,
                            boot_time now);
    [[nodiscard]] std::size_t countFailedRuns(const job_entry &job, const task_id &task);
    void finish(job_entry &job, job_state state, boot_time now);

    std::unordered_map<job_id, job_entry> m_jobs{};
    std::unordered_set<job_id> m_open{};
    std::vector<job_id> m_dirty{};
};

} // namespace azurelb
