#pragma once

#include <azurelb/catalogue/catalogue.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/jobs/job_record.hpp>
#include <azurelb/scheduling/scheduler.hpp>
#include <support/fake_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurelb::test {

/**
 * Simulates executors, stored progress and owners in virtual time. It delivers the owners' orders,
 * loses or delays answers on request, and checks the invariants at each start of a run.
 */
class scheduler_simulation
{
public:
    explicit scheduler_simulation(const scheduling_options &options = {});

    /** Adds an executor with 16 cores and 64 GB. */
    void addExecutor(const std::string &id, const std::string &pool = "pool", double clockRate = 1);
    void submit(const job_record &job);
    void cancel(const job_id &id);

    /** Advances the time in steps of 20 ms. */
    void advance(std::chrono::milliseconds time);

    /** Another daemon becomes owner; the former one continues until it is fenced or must stop. */
    void takeOver();
    /** Another daemon becomes owner; the former one stops at once. */
    void replaceOwner();

    /** Another daemon becomes owner, which reads the newest configuration only after the delay; all
        jobs were accepted under that one. The former owner stops at once. */
    void replaceOwnerWithOldConfiguration(std::chrono::milliseconds readsAfter);

    /** Makes the executor unreachable for the former owner. */
    void disconnectFormerOwner(const std::string &executor);

    /** The executor restarts under its identifier and registers at once. */
    void crash(const std::string &executor);
    /** The executor restarts under its identifier and registers only after the delay: the owner may
        learn of it from its next report. */
    void restartUnnoticed(const std::string &executor,
                          std::chrono::milliseconds registersAfter = std::chrono::seconds{1});
    /** Sets whether the executor is unreachable for the current owner; a former one reaches it. */
    void setDisconnected(const std::string &executor, bool disconnected);

    /** Loses the answers to the next count start orders, which are carried out. */
    void loseAnswers(unsigned count) { m_lostAnswers = count; }
    /** Carries out the next count orders after the delay and does not answer them. */
    void delayOrders(unsigned count, std::chrono::milliseconds delay);
    void setStoreDown(bool down) { m_storeDown = down; }
    /** Sets whether orders, leases and acknowledgements are withheld from an executor that has
        restarted since its last report; if not, the new incarnation gets them. */
    void setPeersIdentified(bool identified) { m_peersIdentified = identified; }
    void setPlan(std::function<run_plan(const task_id &)> plan) { m_plan = std::move(plan); }

    [[nodiscard]] boot_time now() const noexcept { return m_now; }
    [[nodiscard]] scheduler &currentScheduler() { return m_owner->scheduling; }
    [[nodiscard]] fake_executor &executor(const std::string &id) { return *m_executors.at(id); }
    [[nodiscard]] job_state stateOf(const job_id &id) const;
    [[nodiscard]] std::size_t startsOf(const task_id &task) const;
    /** Returns when the end of the job was stored; nullopt if it has not been. */
    [[nodiscard]] std::optional<boot_time> endOf(const job_id &id) const;
    /** Descriptions of the violated invariants. */
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }

    catalogue config{};

private:
    struct owner_model
    {
        owner_model(const scheduling_options &options, std::int64_t ownToken)
            : scheduling{options, ownToken * 1'000'000}
            , token{ownToken}
        { }

        scheduler scheduling;
        std::int64_t token;
        std::set<std::string> unreachable{};
        boot_time mustStopAt{boot_time::max()};
        /** Last time at which the store confirmed this owner. */
        boot_time confirmedAt{boot_time::max()};
        std::map<std::string, boot_time> askedAt{};
        bool fenced{false};
    };
    struct delayed_order
    {
        boot_time at{};
        std::int64_t token{0};
        executor_order order{};
        /** Incarnation that received the order; a restart discards the order. */
        std::int64_t startedUnixMs{0};
    };

    struct late_registration
    {
        boot_time at{};
        std::string executor{};
    };

    void makeOwner();
    void step();
    void runOwner(owner_model &owner);
    void pollExecutor(owner_model &owner, const std::string &id);
    void sendOrder(owner_model &owner, const executor_order &order);
    void deliver(owner_model &owner, const start_order &order);
    void deliver(owner_model &owner, const stop_order &order);
    [[nodiscard]] start_outcome executeStart(const start_order &order, std::int64_t token);
    [[nodiscard]] std::int64_t incarnationOf(const std::string &executor) const;
    void executeDelayedOrders();
    void registerRestarted();
    /** Returns the time since the executor's last restart. */
    [[nodiscard]] std::chrono::milliseconds ageOf(const std::string &executor) const;
    void store(owner_model &owner);
    void checkStart(const start_order &order);
    void recordEnds();
    void recordAcknowledgedEnds();

    scheduling_options m_options{};
    boot_time m_now;
    std::map<std::string, std::unique_ptr<fake_executor>> m_executors{};
    std::map<job_id, job_record> m_records{};
    std::map<job_id, boot_time> m_acceptedAt{};
    std::map<job_id, job_progress> m_stored{};
    std::map<job_id, boot_time> m_endedAt{};
    std::set<job_id> m_cancelled{};
    /** Records of the executors, as the owner wrote them last. */
    std::map<std::string, executor_registration> m_recordedExecutors{};
    std::unique_ptr<owner_model> m_owner{};
    std::unique_ptr<owner_model> m_formerOwner{};
    std::int64_t m_token{0};
    std::optional<boot_time> m_readsConfigurationAt{};
    unsigned m_lostAnswers{0};
    unsigned m_delayedOrders{0};
    std::chrono::milliseconds m_delay{0};
    bool m_storeDown{false};
    bool m_peersIdentified{false};
    std::vector<delayed_order> m_delayedDeliveries{};
    std::vector<late_registration> m_lateRegistrations{};
    std::map<std::string, boot_time> m_restartedAt{};
    std::function<run_plan(const task_id &)> m_plan;
    std::map<task_id, std::vector<boot_time>> m_starts{};
    std::map<task_id, std::vector<boot_time>> m_doneEnds{};
    /** When each run ended. */
    std::map<run_number, boot_time> m_runEndedAt{};
    std::map<task_id, unsigned> m_recordedFailures{};
    std::vector<std::string> m_violations{};
};

/** Creates a job of one step; cpu is in thousandths of a core. */
[[nodiscard]] job_record makeJob(const std::string &id, std::uint32_t tasks,
                                 std::int64_t cpu = 1000);

} // namespace azurelb::test
