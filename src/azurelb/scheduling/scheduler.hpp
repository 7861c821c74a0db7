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

#include <array>
#include <chrono>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azurelb {

/**
 * Decides which task runs where. It owns all jobs and executors of a deployment while its process
 * holds the owner's lease. Pure: time, answers and reports come in, orders go out; the caller
 * carries the orders and stores the progress of dirty jobs before ends are acknowledged.
 */
class scheduler
{
public:
    /** The base of run numbers must be higher than that of every earlier owner. */
    scheduler(const scheduling_options &options, run_number runBase);

    void apply(const catalogue &config);

    /** Zones in which nothing may start. */
    void setEvacuatedZones(std::set<std::string> zones) { m_evacuatedZones = std::move(zones); }

    /** Adds an accepted job. Ignored if it is known. */
    void addJob(const job_record &record, const job_progress &stored, store_revision storedRevision,
                bool inherited, boot_time acceptedAt);

    /** Cancels a job and stops its runs. */
    void cancelJob(const job_id &id, boot_time now);

    /** Takes over what an executor says of itself. */
    void registerExecutor(const executor_registration &info, boot_time now);

    /** Takes over an executor on which an earlier owner may have runs. */
    void inheritExecutor(const executor_registration &info, boot_time now);

    /** The store has no entry of the executor any more; its runs are kept while it answers. */
    void unregisterExecutor(const executor_id &id);

    /** The life of the executor has ended for certain: all that it ran has ended. */
    void endExecutor(const executor_id &id, boot_time now);

    /** A report that was asked for at the first and came at the second time. */
    void applyReport(const executor_id &id, const executor_report &report, boot_time askedAt,
                     boot_time now);

    /** A call to the executor got no answer. */
    void markUnresponsive(const executor_id &id);

    void applyStartOutcome(const start_order &order, start_outcome outcome, boot_time now);

    /** Confirmed is false if no answer came. */
    void applyStopOutcome(const stop_order &order, bool confirmed, boot_time now);

    /**
     * Ends runs whose executor is lost, opens what is due, places what waits. Until the time of
     * the confirmation no other owner can have renewed a lease; whether one has since is unknown.
     */
    void advance(boot_time now, std::chrono::milliseconds unixOffset, boot_time confirmedAt);

    /** Orders since the last call, in the order in which they must be sent to one executor. */
    [[nodiscard]] executor_orders takeOrders() { return std::exchange(m_orders, {}); }

    /** Executors whose life has ended since the last call. */
    [[nodiscard]] std::vector<executor_incarnation> takeEndedIncarnations()
    {
        return std::exchange(m_endedIncarnations, {});
    }

    /** What was found since the last call. */
    [[nodiscard]] scheduling_notices takeNotices() { return std::exchange(m_notices, {}); }

    /** Demand and room of each pool. */
    [[nodiscard]] std::unordered_map<std::string, pool_load> poolLoads(boot_time now) const;

    /** Stops the long-running tasks of a reserved executor that may be unavailable now. */
    void evictLongRunningTasks(const executor_id &id, boot_time now);

    [[nodiscard]] job_table &jobs() noexcept { return m_jobs; }
    [[nodiscard]] const job_table &jobs() const noexcept { return m_jobs; }
    [[nodiscard]] executor_table &executors() noexcept { return m_executors; }
    [[nodiscard]] const executor_table &executors() const noexcept { return m_executors; }

private:
    /** Tasks of one step that wait for a place. */
    struct waiting_step
    {
        job_entry *job;
        occurrence_entry *occurrence;
        std::uint32_t step;
        /** Time left until the objective once the remaining chain has run. */
        std::chrono::milliseconds slack;
    };
    using sort_key_function = std::chrono::milliseconds (scheduler::*)(const waiting_step &) const;
    using candidate_list = std::vector<executor_entry *>;

    void applyReportedRun(executor_entry &executor, const reported_run &run, boot_time now);
    void adoptRun(executor_entry &executor, const reported_run &run, boot_time now);
    void applyReportedEnds(executor_entry &executor, const executor_report &report, boot_time now);
    void applyEnd(executor_entry &executor, const ended_run &end, boot_time now);
    void reconcileUnlistedRuns(executor_entry &executor, const executor_report &report,
                               boot_time askedAt, boot_time now);
    void throttleBackfill(executor_entry &executor, boot_time now);
    /** Counts failures that point to the executor. */
    void updateFailureCount(executor_entry &executor, const ended_run &end, boot_time now);
    /** Whether planned work may end the run now: not too many others of its step are unavailable.
        A run that starts up may be at work since its last report. */
    [[nodiscard]] bool mayInterrupt(const task_id &task, boot_time now);
    void addJobEndNotice(const job_id &id, boot_time now);
    void stopRunsOf(const job_id &id, boot_time now);
    void stopRun(executor_entry &executor, const task_id &task, assignment &held,
                 stop_reason reason, boot_time now);
    void dropAssignment(executor_entry &executor, const task_id &task, boot_time now);
    void stopStalled(executor_entry &executor, boot_time now);
    void stopLongRunningIfDraining(executor_entry &executor, boot_time now);

    [[nodiscard]] std::vector<waiting_step> waitingSteps(boot_time now);
    [[nodiscard]] std::chrono::milliseconds sortKeyByAge(const waiting_step &step) const;
    [[nodiscard]] std::chrono::milliseconds sortKeyBySlack(const waiting_step &step) const;
    [[nodiscard]] bool isUsable(const executor_entry &executor, boot_time now) const;
    void placeWaitingSteps(boot_time now);
    void placeStep(const waiting_step &step, const candidate_list &candidates, boot_time now);
    void placeGang(const waiting_step &step, const candidate_list &candidates, boot_time now);
    [[nodiscard]] executor_entry *chooseExecutor(const waiting_step &step, const task_entry &task,
                                                 const candidate_list &candidates) const;
    void startRun(const waiting_step &step, std::uint32_t index, executor_entry &executor,
                  run_number run, boot_time now);

    /** Indexed by queue_order. */
    static const std::array<sort_key_function, 2> sortKeyFunctions;

    scheduling_options m_options;
    run_number m_lastRun;
    catalogue m_catalogue{};
    std::set<std::string> m_evacuatedZones{};
    job_table m_jobs{};
    executor_table m_executors;
    executor_orders m_orders{};
    scheduling_notices m_notices{};
    std::vector<executor_incarnation> m_endedIncarnations{};
};

} // namespace azurelb
