#pragma once

#include <azurelb/catalogue/catalogue.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/scheduling/executor_incarnation.hpp>
#include <azurelb/scheduling/executor_table.hpp>
#include <azurelb/scheduling/job_table.hpp>
#include <azurelb/scheduling/notices.hpp>
#include <azurelb/scheduling/orders.hpp>
#include <azurelb/scheduling/pool_load.hpp>
#include <azurelb/scheduling/start_outcome.hpp>
#include <azurelb/scheduling/waiting_order.hpp>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azurelb {

/** Whether the scheduler may place tasks. */
enum class placement_mode { allowed, suspended };

/**
 * Assigns the tasks of all jobs to the executors of a deployment while its process holds the
 * owner's lease. It performs no I/O: the caller passes in time, answers and reports, sends the
 * resulting orders, and stores the progress of dirty jobs before it acknowledges ends.
 */
class scheduler
{
public:
    static constexpr std::chrono::milliseconds unknownAge{executor_table::unknownAge};

    /** Run numbers start above runBase, which must exceed the runBase of every earlier owner. */
    scheduler(const scheduling_options &options, run_number runBase);

    void apply(const catalogue &config);

    /** Sets the zones in which no run may start. */
    void setEvacuatedZones(std::set<std::string> zones) { m_evacuatedZones = std::move(zones); }

    /** Adds an accepted job with its stored progress. Does nothing if the job is known. */
    void addJob(const job_record &record, const job_progress &stored, store_revision storedRevision,
                bool inherited, boot_time acceptedAt);

    /** Cancels a job and stops its runs. */
    void cancelJob(const job_id &id, boot_time now);

    /** Adds or updates an executor. A new incarnation ends the previous one, and with it the runs
        that are known to be on the previous one. The age is the time since its start by the Unix
        clock. */
    void registerExecutor(const executor_registration &info, boot_time now,
                          std::chrono::milliseconds age = unknownAge);

    /** Adds an executor on which an earlier owner may have runs. */
    void inheritExecutor(const executor_registration &info, boot_time now,
                         std::chrono::milliseconds age = unknownAge);

    /** Call when the registration has been removed from the store; runs continue while the executor
        answers. */
    void unregisterExecutor(const executor_id &id);

    /** Removes an executor that is known to have ended, and with it its runs. */
    void endExecutor(const executor_id &id, boot_time now);

    /** Applies a report that was requested at askedAt and arrived at now. A report of a new
        incarnation ends the previous one, as in registerExecutor(). */
    void applyReport(const executor_id &id, const executor_report &report, boot_time askedAt,
                     boot_time now);

    /**
     * Sets the time at which the jobs were last read: all jobs that were stored before are known.
     * Reported runs of unknown jobs are neither stopped, nor are their ends acknowledged, until the
     * jobs have been read after the report. Without a call all jobs are known.
     */
    void setJobsReadAt(boot_time readAt) noexcept { m_jobsReadAt = readAt; }

    /** Returns whether the executor has reported runs of jobs that may not have been read yet. */
    [[nodiscard]] bool hasUndecidedRuns(const executor_entry &executor) const;

    /** Call when the executor did not answer. */
    void markUnresponsive(const executor_id &id);

    /** Returns whether the run still waits for the outcome of its order. An order that has not been
        sent yet must not be sent otherwise. */
    [[nodiscard]] bool isStartPending(const start_order &order) const;

    void applyStartOutcome(const start_order &order, start_outcome outcome, boot_time now);
    /** Call when another incarnation than the known one has answered a start order, before
        applyStartOutcome(). */
    void recordAnswerOnOtherClock(const executor_id &id, boot_time now);

    /** confirmed is false if no answer came. */
    void applyStopOutcome(const stop_order &order, bool confirmed, boot_time now);

    /**
     * Ends runs of lost executors, opens due occurrences and places waiting tasks. confirmedAt is
     * the last time at which the store confirmed this owner: another owner may have renewed
     * leases since. No task is placed while placement is suspended.
     */
    void advance(boot_time now, std::chrono::milliseconds unixOffset, boot_time confirmedAt,
                 placement_mode placement = placement_mode::allowed);

    /** Returns the orders since the last call. Those to one executor must be sent in this order. */
    [[nodiscard]] executor_orders takeOrders() { return std::exchange(m_orders, {}); }

    /** Returns the executor incarnations that have ended since the last call. */
    [[nodiscard]] std::vector<executor_incarnation> takeEndedIncarnations()
    {
        return std::exchange(m_endedIncarnations, {});
    }

    /** Returns the notices since the last call. */
    [[nodiscard]] scheduling_notices takeNotices() { return std::exchange(m_notices, {}); }

    /** Returns demand and capacity of each pool. */
    [[nodiscard]] std::unordered_map<std::string, pool_load> poolLoads(boot_time now) const;

    /** Stops the long-running tasks of an executor whose VM is about to be maintained, as far as
        the limits of their steps allow it now. */
    void evictLongRunningTasks(const executor_id &id, boot_time now);

    [[nodiscard]] job_table &jobs() noexcept { return m_jobs; }
    [[nodiscard]] const job_table &jobs() const noexcept { return m_jobs; }
    [[nodiscard]] executor_table &executors() noexcept { return m_executors; }
    [[nodiscard]] const executor_table &executors() const noexcept { return m_executors; }

private:
    /** What a report proves of runs that it does not list. */
    struct report_proof
    {
        /** When the report was requested: runs confirmed later need not be listed. */
        boot_time askedAt{};
        /** All unacknowledged ends were listed and have been applied. */
        bool endsKnown{false};
    };

    /** A step with tasks that wait for an executor. */
    struct waiting_step
    {
        job_entry *job;
        occurrence_entry *occurrence;
        std::uint32_t step;
        waiting_rank rank;
    };
    /** An executor that may get runs. */
    struct candidate
    {
        executor_entry *executor;
        /** Kept here, so that full executors are skipped without access to their entries. */
        resources free;
        /** Members of the gang that is being planned here. They have no assignment yet. */
        std::size_t plannedMembers{0};
        /** Time until the executor is expected to be needed for a gang that has waited for long.
            Other tasks may run there if they end by then. */
        std::optional<std::chrono::milliseconds> availableFor{};
    };
    /** An executor whose short runs are left to end. */
    struct drain
    {
        candidate *from;
        /** Expected time until they have ended. */
        std::chrono::milliseconds time;
        /** Resources that are free then. */
        resources free;
    };
    /** Executors of a pool during one pass of placement. */
    struct pool_candidates
    {
        std::vector<candidate> executors{};
        /** Requests for which no executor had room in this pass; larger ones find none either. */
        std::vector<resources> rejected{};
        /** Greatest free amount of each resource. */
        resources largestFree{};
        /** The gang for which executors are reserved. */
        std::optional<waiting_step> reservedFor{};
        /** An executor of the pool may have runs of an earlier owner and has not answered yet. */
        bool hasUnknownRuns{false};

        [[nodiscard]] bool mayHaveRoom(const resources &wanted) const;
    };

    void failExhaustedJobs(boot_time now);
    /** Returns whether the job is known, or known not to exist. */
    [[nodiscard]] bool isDecided(executor_entry &executor, const job_id &id, boot_time now);
    void applyRunsAndEnds(executor_entry &executor, const executor_report &report, boot_time now);
    void noteEarlierRuns(const executor_entry &executor, const executor_report &report);
    /** Applies reported runs of jobs that have been read since. */
    void applyUndecidedReports(boot_time now);
    void beginIncarnation(executor_entry &executor, std::int64_t startedUnixMs, boot_time now);
    void applyReportedRun(executor_entry &executor, const reported_run &run, boot_time now);
    void adoptRun(executor_entry &executor, const reported_run &run, boot_time now);
    /** Applies the ends up to the first one that can't be decided. */
    void applyReportedEnds(executor_entry &executor, const executor_report &report, boot_time now);
    /** Returns whether the end counts. */
    bool applyEnd(executor_entry &executor, const ended_run &end, boot_time now);
    /** Returns why an end as done has had no effect on its job. */
    [[nodiscard]] std::string_view uncountedReason(const task_id &task);
    void reconcileUnlistedRuns(executor_entry &executor, const executor_report &report,
                               const report_proof &proof, boot_time now);
    void throttleBackfill(executor_entry &executor, boot_time now);
    /** Counts failures that point to a faulty executor, and suspends it if there are too many. */
    void updateFailureCount(executor_entry &executor, const ended_run &end, boot_time now);
    /** Returns whether maintenance may stop the run now, which depends on how many other tasks of
        its step are unavailable. This also holds for a run that was starting at its last report,
        as it may be available by now. */
    [[nodiscard]] bool mayInterrupt(const task_id &task, boot_time now);
    /** Stops the other members of a gang's run of which one was not started: they would wait for it
        in vain. */
    void stopIncompleteGang(const task_id &notStarted, run_number run, boot_time now);
    void addJobEndNotice(const job_id &id, boot_time now);
    void stopRunsOf(const job_id &id, boot_time now);
    void stopRun(executor_entry &executor, const task_id &task, assignment &held,
                 stop_reason reason, boot_time now);
    void dropAssignment(executor_entry &executor, const task_id &task, release_reason reason,
                        boot_time now);
    /** Adds the run to the notice of the runs that were given up. */
    void noteGivenUp(const executor_entry &executor, const task_run &run, release_reason reason,
                     boot_time now);
    void endExecutor(const executor_id &id, release_reason reason, boot_time now);
    /** Returns how long the reported progress of a run may stay unchanged. */
    [[nodiscard]] std::chrono::milliseconds stallTimeoutOf(const task_id &task,
                                                           const assignment &held);
    void stopStalled(executor_entry &executor, boot_time now);
    void stopLongRunningIfDraining(executor_entry &executor, boot_time now);

    void checkExecutors(boot_time now, boot_time confirmedAt);
    /** Gives up the runs of an executor whose leases were over at the given time; the executor is
        used again once it answers. */
    void giveUpRuns(executor_entry &executor, boot_time leasesOverAt, boot_time now);
    [[nodiscard]] std::vector<waiting_step>
    waitingSteps(const std::string &name, const pool_candidates &pool, boot_time now) const;
    [[nodiscard]] bool isUsable(const executor_entry &executor, boot_time now) const;
    /** Returns the resources that a new run may use; nothing fits if the ends of its runs could be
        more than it lists at a time. */
    [[nodiscard]] resources roomOn(const executor_entry &executor,
                                   std::size_t plannedRuns = 0) const noexcept;
    [[nodiscard]] pool_candidates candidatesOf(const std::string &pool, boot_time now) const;
    void placeWaitingSteps(boot_time now);
    void placeStep(const waiting_step &step, pool_candidates &pool, boot_time now);
    void placeGang(const waiting_step &step, pool_candidates &pool, boot_time now);
    /** Returns an executor for each member of the gang; empty if not all of them find room. The
        candidates and the scheduler are as before. */
    [[nodiscard]] std::vector<candidate *> planGang(const waiting_step &step,
                                                    pool_candidates &pool) const;
    /** Returns whether the job's tasks may be placed, given what is known of earlier runs and of
       its queue. */
    [[nodiscard]] bool mayPlace(const job_entry &job, const pool_candidates &pool) const;
    /** Reserves executors for the gang of the pool that has waited for longest, if it has waited
        for long and they would have room for it without their short runs. */
    void reserveForWaitingGang(const std::string &name, pool_candidates &pool, boot_time now) const;
    [[nodiscard]] std::vector<waiting_step>
    gangsThatWaitLong(const std::string &name, const pool_candidates &pool, boot_time now) const;
    [[nodiscard]] static drain makeDrain(candidate &of, boot_time now);
    /** Returns whether the executor must be left to the gang for which it is reserved. */
    [[nodiscard]] static bool isKeptFrom(const waiting_step &step, const candidate &executor,
                                         const pool_candidates &pool);
    /** Returns false if the executors can't have room for all members, whatever their division. */
    [[nodiscard]] static bool mayHoldGang(const job_step &step, const pool_candidates &pool);
    [[nodiscard]] candidate *chooseExecutor(const waiting_step &step, const task_entry &task,
                                            pool_candidates &pool, const team_entry *team) const;
    /** Notes that a step of a job has been placed. */
    void recordStart(const waiting_step &step, boot_time now);
    void startOn(candidate &chosen, const waiting_step &step, std::uint32_t index, run_number run,
                 boot_time now);
    void startRun(const waiting_step &step, std::uint32_t index, executor_entry &executor,
                  run_number run, boot_time now);

    scheduling_options m_options;
    run_number m_lastRun;
    catalogue m_catalogue{};
    std::set<std::string> m_evacuatedZones{};
    boot_time m_checkedAt{};
    boot_time m_allPlacedAt{};
    /** Pools in which a waiting task may find room since the last placement. */
    std::set<std::string> m_changedPools{};
    boot_time m_jobsReadAt{boot_time::max()};
    /** Executors with unread jobs. */
    std::set<executor_id> m_undecidedExecutors{};
    /** All open jobs have been checked for tasks that have used up their attempts. */
    bool m_attemptsChecked{true};
    job_table m_jobs{};
    executor_table m_executors;
    executor_orders m_orders{};
    scheduling_notices m_notices{};
    std::vector<executor_incarnation> m_endedIncarnations{};
};

} // namespace azurelb
