#pragma once

#include <azurelb/catalogue/fwd.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/fwd.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/job_entry.hpp>

#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurelb {

/** Effect of the end of a run on its job. */
enum class end_effect {
    /** The end was already known, or the job has ended or is unknown. */
    none,
    task_done,
    task_requeued,
    job_completed,
    job_failed
};

/**
 * Tracks jobs and the progress of their tasks: opens steps, applies the ends of runs, and collects
 * the changes that must be stored. Executors appear only by their identifiers.
 */
class job_table
{
public:
    /** Adds a job with its stored progress. Returns false if the job is already present. */
    bool add(job_record record, const job_progress &stored, store_revision storedRevision,
             bool inherited, boot_time acceptedAt);

    /** Sets priority, maximum attempts and objective from the settings of the job's queue. */
    void applyQueueSettings(job_entry &job, const queue_entry &queue) const noexcept;

    /** Marks the job cancelled. Returns false if it is unknown or has ended. */
    bool cancel(const job_id &id, boot_time now);

    /** Removes a job that has ended. */
    void erase(const job_id &id);

    [[nodiscard]] job_entry *find(const job_id &id) noexcept;
    [[nodiscard]] const job_entry *find(const job_id &id) const noexcept;
    [[nodiscard]] task_entry *find(const task_id &task) noexcept;
    [[nodiscard]] step_entry *findStep(const task_id &task) noexcept;

    /** Limits on the open occurrences of a job and on their tasks. At least one is opened. */
    static constexpr std::size_t maxOpenOccurrences{1000};
    static constexpr std::size_t maxOpenTasks{10'000};

    /** Opens the occurrences that are due, as far as the limits allow; the others are opened as
        open ones end. unixOffset is Unix time minus boot time. */
    void openDueOccurrences(boot_time now, std::chrono::milliseconds unixOffset);

    /**
     * Opens the occurrence of a task that an executor reports, which an earlier owner has found
     * due. Reports may arrive before this owner first opens due occurrences, and the earlier
     * owner's clock may have been ahead of this one.
     */
    void openReportedOccurrence(const task_id &task);

    /** Records that a run of the task may exist on the executor. */
    void assign(const task_id &task, const executor_id &executor);

    /** The job no longer waits: start orders for its tasks are given, or a run is known. */
    void recordStart(job_entry &job);

    /** A run of the job may have begun. */
    void recordBegun(const job_id &id);

    /** A start order was not carried out: the job waits again if nothing of it has begun. */
    void recordNotStarted(const job_id &id);

    /** Requeues the task. */
    void release(const task_id &task);

    /** Applies the end of a run. Does not release the assignment. */
    end_effect applyEnd(const ended_run &end, const executor_id &executor, boot_time now);

    /** Fails the jobs of which a task has failed as often as permitted, and returns them. */
    [[nodiscard]] std::vector<job_id> failExhausted(boot_time now);

    /** Records a checkpoint that a run has saved; that of any member counts for its gang. Does
        nothing if the checkpoint is empty or a later run has saved one. Does not mark the job
       dirty.
     */
    void recordCheckpoint(const task_id &task, run_number run, const std::string &checkpoint);

    /** Returns the checkpoint from which the next run resumes, the same for all members of a gang;
        empty for none. */
    [[nodiscard]] const std::string &checkpointOf(const task_id &task);

    /** Returns the progress of the job to be stored. */
    [[nodiscard]] static job_progress progressOf(const job_entry &job);

    /** Returns the jobs whose progress differs from the stored one, and marks them clean. */
    [[nodiscard]] std::vector<job_id> takeDirtyJobs();
    void markDirty(job_entry &job);

    /** Jobs that have not ended, in no particular order. */
    [[nodiscard]] const std::vector<job_entry *> &open() const noexcept { return m_open; }
    [[nodiscard]] const std::vector<job_entry *> &openOf(const std::string &pool) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }

    /** Counts the jobs of the queue of which no task has started; scheduled jobs are left out. */
    [[nodiscard]] std::size_t countPendingJobs(const std::string &queue) const;

    /** Returns the jobs that ended before the time and whose progress is stored. */
    [[nodiscard]] std::vector<job_id> jobsEndedBefore(boot_time limit) const;

private:
    void addOpen(job_entry &job);
    void removeOpen(job_entry &job);
    void openOccurrence(job_entry &job, std::uint32_t number, boot_time due);
    void restore(job_entry &job, const job_progress &stored);
    static void openSteps(const job_record &record, occurrence_entry &occurrence);
    /** Returns the entry that has the task's checkpoint; null for an unknown task. */
    [[nodiscard]] task_entry *findCheckpointHolder(const task_id &task);
    static void uniteCheckpoints(step_entry &step);
    static occurrence_entry *findOccurrence(job_entry &job, std::uint32_t number) noexcept;
    /** Removes completed occurrences of which no run is left. */
    static void removeCompletedOccurrences(job_entry &job);
    end_effect applyDone(job_entry &job, const task_id &task, boot_time now);
    end_effect applyFailure(job_entry &job, const ended_run &end, const executor_id &executor,
                            boot_time now);
    [[nodiscard]] std::size_t countFailedRuns(const job_entry &job, const task_id &task);
    [[nodiscard]] bool isExhausted(const job_entry &job);
    void finish(job_entry &job, job_state state, boot_time now);

    std::unordered_map<job_id, job_entry> m_jobs{};
    std::vector<job_entry *> m_open{};
    std::unordered_map<std::string, std::vector<job_entry *>> m_openOfPool{};
    /** Open jobs with occurrences that have not become due. */
    std::vector<job_id> m_notDue{};
    std::vector<job_id> m_dirty{};
};

} // namespace azurelb
