#pragma once

#include <azurelb/admission/load_forecast.hpp>
#include <azurelb/admission/overload_control.hpp>
#include <azurelb/catalogue/catalogue.hpp>
#include <azurelb/catalogue/wave_entry.hpp>
#include <azurelb/control/executor_directory.hpp>
#include <azurelb/control/executor_gateway.hpp>
#include <azurelb/control/fwd.hpp>
#include <azurelb/control/load_monitor.hpp>
#include <azurelb/control/order_gate.hpp>
#include <azurelb/control/owner_metrics.hpp>
#include <azurelb/control/progress_writer.hpp>
#include <azurelb/control/vm_manager.hpp>
#include <azurelb/keyspace/key_revisions.hpp>
#include <azurelb/keyspace/prefix_reader.hpp>
#include <azurelb/keyspace/prefix_watcher.hpp>
#include <azurelb/scheduling/scheduler.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurelb {

/** State of the fleet that the operators request, as last read from the store. */
struct desired_state
{
    catalogue config{};
    std::set<std::string> evacuatedZones{};
    std::vector<wave_entry> waves{};
};

/**
 * Schedules all jobs while its daemon holds the owner's key: loads the stored state, contacts every
 * executor with its fencing token, then sends the scheduler's orders and stores progress. After its
 * destruction it sends no more orders and ignores the answers of pending calls.
 */
class owner
{
public:
    using lost_handler = std::function<void(std::string_view reason)>;
    using yield_handler = std::function<void(std::string_view reason)>;
    using wave_state_encoder = std::function<keyspace_put(const wave_entry &)>;

    /** Dependencies of an owner; they outlive it. */
    struct services
    {
        boost::asio::io_context &loop;
        keyspace &store;
        executor_gateway &executors;
        vm_service &vms;
        executor_directory_factory makeDirectory;
        /** Returns the state of the owner's lease. */
        order_gate::state_source leaseState;
        /** Returns the age of the operators' documents. */
        order_gate::state_source documentsState;
        /** Releases the owner's key, so that another daemon becomes owner. */
        yield_handler yieldKey;
        /** Returns the write that shows the state of a wave to the operators. */
        wave_state_encoder encodeWaveState;
        owner_metrics &metrics;
    };

    struct options
    {
        scheduling_options scheduling{};
        vm_manager::options vms{};
        order_gate::options gate{};
        /** Processor share of this VM, in cores. */
        double processors{1};
    };

    owner(services with, const options &settings, store_revision token, lost_handler onLost);
    owner(const owner &) = delete;
    owner &operator=(const owner &) = delete;
    ~owner();

    /** Loads the stored state, then starts to schedule. */
    void start();

    /** Replaces the operators' desired state. */
    void apply(const desired_state &desired);

    /** Stops all orders and records this in the store for the next owner, unless leases of a lost
        predecessor may still be in force. */
    void handOver(std::function<void()> done);

private:
    /** State of the report requests to one executor. */
    struct channel
    {
        bool reportPending{false};
        /** Consecutive requests without an answer, up to maxRetryFactor. */
        unsigned failures{0};
        /** A report that was requested after incarnationDoubtedAt has shown the incarnation. */
        bool incarnationKnown{false};
        /** When a call last stayed without an answer or was answered on another clock. */
        boot_time incarnationDoubtedAt{};
        boost::asio::steady_timer timer;

        explicit channel(boost::asio::io_context &loop)
            : timer{loop}
        { }
    };

    void considerCandidates();
    void yieldToLargerVm();
    void recordActiveOwner();
    /** Returns the write of the last-owner key. */
    [[nodiscard]] keyspace_write makeStateWrite(std::string_view state) const;
    /** Whether executors may hold leases of earlier owners and have not reported to this one. */
    [[nodiscard]] bool mayHavePredecessorsLeases() const;
    void loadStoredState();
    void readRevision(std::string_view key);
    /** Call after each of the reads of loadStoredState(). */
    void finishRead();
    void restoreItem(const keyspace_item &item);
    void watchJobs();
    void applyUnappliedJobs();
    void watchExecutors();
    void handleJobChange(const keyspace_item &item);
    void addJob(const job_record &record);
    void recordArrival(const job_record &record, boot_time at);
    /** Logs that jobs were accepted under a configuration version that this daemon has not read. */
    void noteNeededVersion(std::int64_t version);
    void beginScheduling();
    void handleRegistration(const executor_registration &info);
    void requestReport(const executor_id &id);
    void requestReportAfter(const executor_id &id, std::chrono::milliseconds pause);
    /** Logs if the acknowledgement or lease of a report request was not sent, or has reached
        another incarnation than the one for which it was meant. */
    void checkReached(const report_request &request, const executor_reply &reply);
    void handleReport(const report_request &request, executor_reply &&reply, boot_time askedAt);
    void scheduleAdvance();
    void advance();
    void retireEndedExecutors();
    void sendOrders();
    std::size_t logStarts(const executor_orders &orders, std::size_t index) const;
    void send(const start_order &order);
    /** Nothing is renewed or acknowledged until a report that is requested later shows the
        executor's incarnation. */
    void doubtIncarnation(const executor_id &id, boot_time now);
    void handleStartReply(const start_order &order, const start_reply &reply, boot_time orderedAt);
    void send(const stop_order &order);
    void send(const cpu_share_order &order);
    void handleStored();
    void tick();
    /** Publishes the counts of waiting jobs and the forecast of the load. */
    void publishLoad();
    void handlePublished(const keyspace_write &write, bool listsPools,
                         const keyspace_commit &outcome);
    [[nodiscard]] std::string encodeWaitingCounts() const;
    [[nodiscard]] load_forecast
    makeForecast(const std::unordered_map<std::string, pool_load> &loads, boot_time now);
    void storeWave(const wave_entry &wave, const wave_progress &progress);
    void removeExpiredJobs();
    /** Logs notices of the scheduler and acknowledgements. */
    void recordNotices();
    [[nodiscard]] bool permits(order_kind kind);
    /** Checks whether starts must wait for an outdated input, and logs when that changes. */
    void updateHold(boot_time now);
    void monitorLoad(boot_time now);
    [[nodiscard]] order_gate makeGate();
    [[nodiscard]] std::chrono::milliseconds ageAtTakeover(const executor_registration &info) const;
    [[nodiscard]] std::chrono::milliseconds unixOffset() const;

    services m_services;
    options m_options;
    store_revision m_token;
    lost_handler m_onLost;
    order_gate m_gate;
    load_monitor m_loadMonitor{load_monitor::options{}};
    scheduler m_scheduler;
    progress_writer m_writer;
    vm_manager m_vmManager;
    std::vector<std::unique_ptr<prefix_reader>> m_readers{};
    /** Reads of the stored state that have not ended. */
    std::size_t m_pendingReads{0};
    /** Jobs that were read before the progress, and registrations that were read before the jobs.
     */
    std::vector<keyspace_item> m_unappliedJobs{};
    std::vector<executor_registration> m_unappliedRegistrations{};
    bool m_progressLoaded{false};
    std::unique_ptr<prefix_watcher> m_jobWatcher;
    std::unique_ptr<executor_directory> m_directory;
    std::unordered_map<executor_id, executor_registration> m_registered{};
    std::unordered_map<executor_id, std::unique_ptr<channel>> m_channels{};
    /** Acknowledgements that have not been logged yet. */
    std::vector<acknowledged_ends> m_acknowledgements{};
    /** Ended incarnations of executors, which the directory may still list. */
    std::set<std::string> m_endedIncarnations{};
    /** Progress stored by an earlier owner, kept until its job is added. */
    struct stored_progress
    {
        job_progress progress{};
        store_revision revision{0};
    };
    std::unordered_map<job_id, stored_progress> m_storedProgress{};
    /** Highest configuration version under which a job was accepted, if it was unread then. */
    std::int64_t m_neededVersion{0};
    /** Cancellations that were read before their jobs. */
    std::set<job_id> m_earlyCancellations{};
    desired_state m_desired{};
    /** Revisions of the keys that only the owner writes, apart from progress and records. */
    key_revisions m_revisions{};
    /** Counts that the store holds; none while a write of them has no answer. */
    std::optional<std::string> m_publishedWaiting{};
    overload_control m_overload{overload_control::options{}, boot_clock::now()};
    std::int64_t m_forecastNumber{0};
    /** Whether the stored forecast lists pools, or may do so after a write without an answer. */
    bool m_forecastStored{true};
    boot_time m_publishedAt{};
    boot_time m_expiredRemovedAt{};
    bool m_jobsLoaded{false};
    bool m_scheduling{false};
    bool m_advanceScheduled{false};
    bool m_handedOver{false};
    bool m_yielding{false};
    /** Input for which starts wait, and since when. */
    std::optional<order_input> m_heldFor{};
    boot_time m_heldSince{};
    /** Last pause of the event loop that was logged. */
    boot_time m_loggedPause{};
    /** There may have been an owner before. */
    bool m_hasPredecessor{true};
    /** The previous owner stopped its orders before this one was elected. */
    bool m_orderlyHandover{false};
    /** Time from the first event to the scheduling pass that handles it. */
    std::chrono::milliseconds m_passInterval;
    boost::asio::steady_timer m_advanceTimer;
    boost::asio::steady_timer m_tickTimer;
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
