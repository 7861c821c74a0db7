#pragma once

#include <azurelb/catalogue/catalogue.hpp>
#include <azurelb/catalogue/wave_entry.hpp>
#include <azurelb/control/executor_directory.hpp>
#include <azurelb/control/executor_gateway.hpp>
#include <azurelb/control/fwd.hpp>
#include <azurelb/control/owner_metrics.hpp>
#include <azurelb/control/progress_writer.hpp>
#include <azurelb/control/vm_manager.hpp>
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
    using renewal_time_source = std::function<boot_time()>;
    using wave_publisher = std::function<void(const wave_entry &)>;

    /** Dependencies of an owner; they outlive it. */
    struct services
    {
        boost::asio::io_context &loop;
        keyspace &store;
        executor_gateway &executors;
        vm_service &vms;
        executor_directory_factory makeDirectory;
        /** Returns when the last confirmed renewal of the owner's lease was sent. */
        renewal_time_source confirmedAt;
        /** Publishes the state of a wave to the operators. */
        wave_publisher publishWave;
        owner_metrics &metrics;
    };

    owner(services with, const scheduling_options &options, const vm_manager::options &vmOptions,
          store_revision token, lost_handler onLost);
    owner(const owner &) = delete;
    owner &operator=(const owner &) = delete;
    ~owner();

    /** Loads the stored state, then starts to schedule. */
    void start();

    /** Replaces the operators' desired state. */
    void apply(const desired_state &desired);

    /** Stops all orders and records this in the store for the next owner. */
    void handOver(std::function<void()> done);

private:
    /** State of the report requests to one executor. */
    struct channel
    {
        bool reportPending{false};
        /** Consecutive requests without an answer, up to maxRetryFactor. */
        unsigned failures{0};
        /** Ended runs may have been renumbered since the last answer. */
        bool resetNumbering{true};
        boost::asio::steady_timer timer;

        explicit channel(boost::asio::io_context &loop)
            : timer{loop}
        { }
    };

    void recordActiveOwner();
    void loadStoredState();
    void loadPrefix(std::string prefix, std::string after, std::function<void()> next);
    void restoreItem(const keyspace_item &item);
    void watchJobs();
    void handleJobChange(const keyspace_item &item);
    void addJob(const job_record &record);
    void addDeferredJobs();
    void beginScheduling();
    void handleRegistration(const executor_registration &info);
    void requestReport(const executor_id &id);
    void requestReportAfter(const executor_id &id, std::chrono::milliseconds pause);
    void handleReport(const executor_id &id, executor_reply &&reply, boot_time askedAt);
    void scheduleAdvance();
    void advance();
    void sendOrders();
    void send(const start_order &order);
    void send(const stop_order &order);
    void send(const cpu_share_order &order);
    void handleStored();
    void tick();
    void publishWaiting();
    void storeWave(const wave_entry &wave, const wave_progress &progress);
    void removeExpiredJobs();
    [[nodiscard]] bool maySendOrders() const;
    [[nodiscard]] std::chrono::milliseconds unixOffset() const;

    services m_services;
    scheduling_options m_options;
    store_revision m_token;
    lost_handler m_onLost;
    scheduler m_scheduler;
    progress_writer m_writer;
    vm_manager m_vmManager;
    std::unique_ptr<prefix_watcher> m_jobWatcher;
    std::unique_ptr<executor_directory> m_directory;
    std::unordered_map<executor_id, executor_registration> m_registered{};
    std::unordered_map<executor_id, std::unique_ptr<channel>> m_channels{};
    /** Ended incarnations of executors, which the directory may still list. */
    std::set<std::string> m_endedIncarnations{};
    /** Progress stored by an earlier owner, kept until its job is added. */
    struct stored_progress
    {
        job_progress progress{};
        store_revision revision{0};
    };
    std::unordered_map<job_id, stored_progress> m_storedProgress{};
    /** Jobs accepted under a configuration version that this daemon has not read yet. */
    std::vector<job_record> m_deferredJobs{};
    /** Cancellations that were read before their jobs. */
    std::set<job_id> m_earlyCancellations{};
    desired_state m_desired{};
    std::string m_publishedWaiting{};
    boot_time m_publishedAt{};
    boot_time m_expiredRemovedAt{};
    bool m_jobsLoaded{false};
    bool m_scheduling{false};
    bool m_advanceScheduled{false};
    bool m_handedOver{false};
    /** The previous owner stopped its orders before this one was elected. */
    bool m_orderlyHandover{false};
    boost::asio::steady_timer m_advanceTimer;
    boost::asio::steady_timer m_tickTimer;
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
