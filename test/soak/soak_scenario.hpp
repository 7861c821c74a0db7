#pragma once

#include "executor_endpoint.hpp"
#include "run_audit.hpp"
#include "soak_caller.hpp"
#include "soak_daemon.hpp"
#include "store_endpoint.hpp"

#include <standin/forwarder.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azurelb::soak {

struct soak_options
{
    unsigned seed{1};
    std::size_t daemons{4};
    std::size_t executors{8};
    std::chrono::milliseconds faultTime{10'000};
    /** Whether the store holds entries that name no executor and no daemon. */
    bool oddEntries{true};
    /** Names of the only faults to inject; empty for all of them. */
    std::set<std::string> onlyFaults{};
};

/**
 * Runs daemon processes against a simulated platform and injects random, overlapping faults. After
 * the fault phase all faults are cleared, and every accepted job must end.
 */
class soak_scenario
{
public:
    explicit soak_scenario(const soak_options &options);

    [[nodiscard]] static bool isFault(const std::string &name);

    void run();

    [[nodiscard]] const run_audit &audit() const noexcept { return m_audit; }
    /** Names of the faults that were carried out, in order. */
    [[nodiscard]] const std::string &faults() const noexcept { return m_faults; }
    [[nodiscard]] std::size_t faultCount() const noexcept { return m_faultCount; }
    /** Output of all daemons, each line preceded by the daemon's name. */
    [[nodiscard]] std::string logs();

private:
    struct soak_executor
    {
        std::string id{};
        std::unique_ptr<executor_endpoint> endpoint{};
        std::unique_ptr<standin::forwarder> proxy{};
        bool closesConnections{false};
        /** Its entry in the directory names no incarnation. */
        bool hasUnnamedEntry{false};
        /** Its VM is in maintenance until then. */
        boot_time inMaintenanceUntil{};
    };
    /** Maintenance wave over one VM. */
    struct requested_wave
    {
        std::string vm{};
        /** The VM has begun its maintenance. */
        bool begun{false};
        /** The daemons have shown the wave as completed. */
        bool completed{false};
    };
    struct fault
    {
        const char *name;
        void (soak_scenario::*inject)();
        /** Whether the fault can be injected now; nullptr if it always can. */
        bool (soak_scenario::*isPossible)(){nullptr};
        /** A third of the executors closes each connection after one response. */
        bool needsClosingExecutors{false};
    };
    /** What follows the restart of executors in recutExecutor(). */
    struct recut_plan
    {
        struct target
        {
            soak_executor *executor;
            /** Time from the cut until the executor is reachable again. */
            std::chrono::milliseconds outage;
        };
        std::vector<target> targets{};
        /** Until when a start on one of them is awaited. */
        boot_time latest{};
        /** Times from that start until they have registered, until the owner is killed, and until
            they are cut off. */
        std::chrono::milliseconds registerDelay{};
        std::chrono::milliseconds killDelay{};
        std::chrono::milliseconds cutDelay{};
    };
    using executor_list = std::vector<soak_executor *>;

    void addExecutors();
    void addExecutor();
    /** Returns the platform's list of VMs. */
    [[nodiscard]] std::string listVms() const;
    /** Begins the maintenance of a VM, as the daemons order it. */
    bool maintain(const std::string &vm, std::int64_t wave);
    void requestWave(const std::string &vm);
    /** Checks that waves shown as completed are so. */
    void checkWaves();
    void awaitWaves(boot_time latest);
    void putOddEntries();
    void writeConfiguration();
    void runFor(std::chrono::milliseconds time, bool withFaults);
    /** Runs without faults until all callers have finished, at most until the given time. */
    void awaitJobs(boot_time latest);
    void injectRandomFault();
    void clearFaults();
    void restartEndedDaemons();
    void schedule(std::chrono::milliseconds pause, std::function<void()> action);
    void endIncarnation(soak_executor &executor);
    /** Holds all bytes of the executor for a time, in the middle of which it restarts; then bytes
        flow on the same connections. It registers 0.1 to 1 s later. */
    void restartInTheDark(soak_executor &executor, std::chrono::milliseconds darkTime);
    /** Restarts a closing executor; its connections end with it if there is no dark time. */
    void restartClosing(soak_executor &executor);
    /** Submits long jobs from now on until a moment after the time. */
    void submitLongJobsDuring(std::chrono::milliseconds time);
    /** Cuts the executors off 0.3 to 2 s after the pause and ends the owner before or after that.
     */
    void cutOffAndEndOwner(const executor_list &executors, std::chrono::milliseconds pause);
    [[nodiscard]] bool hasClosingExecutors() const;
    [[nodiscard]] executor_list closingExecutors();
    void registerExecutor(soak_executor &executor);
    /** Returns the daemon that holds the owner's key; nullptr if there is none. */
    [[nodiscard]] soak_daemon *findOwner();
    /** Lets the store execute late some of the commits of the next time that change keys with the
        prefix. */
    void executeCommitsLateDuring(std::chrono::milliseconds time, const std::string &prefix);
    /** The directory drops the entry of a silent executor; the executor is back after the outage.
     */
    void cutOffUntilUnregistered(soak_executor &executor, std::chrono::milliseconds outage);
    [[nodiscard]] executor_list withoutRecord(const executor_list &executors);
    void fillExecutors(std::chrono::milliseconds duration);
    void askForWaitingJobsDuring(std::chrono::milliseconds time);
    void setProxy(soak_executor &executor, const std::string &fault);
    [[nodiscard]] soak_daemon &randomDaemon();
    [[nodiscard]] soak_executor &randomExecutor();
    [[nodiscard]] std::size_t randomIndex(std::size_t below);
    [[nodiscard]] std::chrono::milliseconds randomDuration(int minMs, int maxMs);

    void killDaemon();
    void terminateDaemon();
    void pauseDaemon();
    void cutDaemonFromStore();
    void silenceStoreConnections();
    void resetStoreConnections();
    void crashExecutor();
    void restartExecutorUnnoticed();
    void changeConfigurationAndOwner();
    void recutExecutor();
    [[nodiscard]] bool mayRecut();
    /** Executors with some runs and room for more, the busiest first. */
    [[nodiscard]] std::vector<soak_executor *> busyExecutorsWithRoom();
    void awaitStartAfterRestart(const recut_plan &plan);
    void cutRestartedExecutors(const recut_plan &plan);
    [[nodiscard]] bool isCutOffOver() { return boot_clock::now() >= m_cutOffUntil; }
    void restartBehindIntermediary();
    void restartClosingExecutor();
    void restartTwice();
    void restartWithUnnamedEntry();
    void recutBehindIntermediary();
    void recutClosingExecutors();
    void cutExecutor();
    void silenceExecutorConnections();
    void makeStoreUnavailable();
    void delayStoreReplies();
    void loseCommitReplies();
    void dropStoreHistory();
    void executeCommitsLate();
    void executeExecutorRecordsLate();
    void executeWaitingCountsLate();
    void cancelSubmissionsUnderWay();
    void submitHopelessGang();
    void requestWaveOfNewVm();
    [[nodiscard]] bool hasFewAddedVms() { return m_waves.size() < maxAddedVms; }
    [[nodiscard]] bool hasNoHopelessGang() { return !m_hasHopelessGang; }
    void submitOverdueOccurrences();
    [[nodiscard]] bool hasNoOverdueOccurrences() { return !m_hasOverdueOccurrences; }

    /** VMs that are added in a run. */
    static constexpr std::size_t maxAddedVms{8};
    static const std::array<fault, 29> faultTypes;

    soak_options m_options;
    boost::asio::io_context m_loop{};
    std::mt19937 m_random;
    run_audit m_audit{};
    store_endpoint m_store;
    /** A deque, as timers refer to the elements. */
    std::deque<soak_executor> m_executors{};
    std::map<std::int64_t, requested_wave> m_waves{};
    std::vector<std::unique_ptr<soak_daemon>> m_daemons{};
    std::unique_ptr<soak_caller> m_callers{};
    std::int64_t m_configVersion{1};
    /** When the executors of the last recutExecutor() are reachable again. */
    boot_time m_recutUntil{};
    /** When the executors of the last cutOffAndEndOwner() are reachable again. */
    boot_time m_cutOffUntil{};
    std::string m_faults{};
    std::size_t m_faultCount{0};
    /** Jobs submitted by the usual traffic. */
    std::size_t m_submitted{0};
    bool m_hasHopelessGang{false};
    bool m_hasOverdueOccurrences{false};
    /** Timers that end faults. */
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers{};
};

} // namespace azurelb::soak
