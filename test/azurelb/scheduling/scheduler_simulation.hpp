#pragma once

#include <azurelb/catalogue/catalogue.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/jobs/job_record.hpp>
#include <azurelb/scheduling/scheduler.hpp>
#include <support/fake_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azurelb::test {

/**
 * Executors, stored progress and owners under virtual time. It carries the owners' orders, loses
 * or delays answers when told to, and checks at each start what must always hold.
 */
class scheduler_simulation
{
public:
    explicit scheduler_simulation(const scheduling_options &options = {});

    /** Executors have 16 cores and 64 GB. */
    void addExecutor(const std::string &id, const std::string &pool = "pool", double clockRate = 1);
    void submit(const job_record &job);
    void cancel(const job_id &id);

    /** Lets time pass in steps of 20 ms. */
    void advance(std::chrono::milliseconds time);

    /** Another daemon becomes owner; the former goes on until it learns of it or must stop. */
    void takeOver();
    /** As above, but the former owner is gone at once. */
    void replaceOwner();

    /** The former owner does not reach the executor. */
    void disconnectFormerOwner(const std::string &executor);

    void crash(const std::string &executor);
    /** The current owner does not reach the executor; an earlier one does. */
    void setDisconnected(const std::string &executor, bool disconnected);

    /** Of the next orders so many are carried out without an answer, or only after the delay. */
    void loseAnswers(unsigned count) { m_lostAnswers = count; }
    void delayOrders(unsigned count, std::chrono::milliseconds delay);
    void setStoreDown(bool down) { m_storeDown = down; }
    void setPlan(std::function<run_plan(const task_id &)> plan) { m_plan = std::move(plan); }

    [[nodiscard]] boot_time now() const noexcept { return m_now; }
    [[nodiscard]] scheduler &currentScheduler() { return m_owner->scheduling; }
    [[nodiscard]] fake_executor &executor(const std::string &id) { return *m_executors.at(id); }
    [[nodiscard]] job_state stateOf(const job_id &id) const;
    [[nodiscard]] std::size_t startsOf(const task_id &task) const;
    /** When the job's end was stored; nothing while it is not. */
    [[nodiscard]] std::optional<boot_time> endOf(const job_id &id) const;
    /** Descriptions of what must not have happened. */
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
        /** Last time at which the store confirmed that there is no other owner. */
        boot_time confirmedAt{boot_time::max()};
        std::map<std::string, boot_time> askedAt{};
        bool fenced{false};
    };
    struct delayed_order
    {
        boot_time at{};
        std::int64_t token{0};
        executor_order order{};
        /** An executor holds the orders that it carries out late; they go with its life. */
        std::int64_t startedUnixMs{0};
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
    void store(owner_model &owner);
    void checkStart(const start_order &order);
    void recordAcknowledgedEnds();

    scheduling_options m_options{};
    boot_time m_now;
    std::map<std::string, std::unique_ptr<fake_executor>> m_executors{};
    std::map<job_id, job_record> m_records{};
    std::map<job_id, boot_time> m_acceptedAt{};
    std::map<job_id, job_progress> m_stored{};
    std::map<job_id, boot_time> m_endedAt{};
    std::set<job_id> m_cancelled{};
    std::set<std::string> m_recordedExecutors{};
    std::unique_ptr<owner_model> m_owner{};
    std::unique_ptr<owner_model> m_former{};
    std::int64_t m_token{0};
    unsigned m_lostAnswers{0};
    unsigned m_delayedOrders{0};
    std::chrono::milliseconds m_delay{0};
    bool m_storeDown{false};
    std::vector<delayed_order> m_delayedDeliveries{};
    std::function<run_plan(const task_id &)> m_plan;
    std::map<task_id, std::vector<boot_time>> m_starts{};
    std::map<task_id, std::vector<boot_time>> m_doneEnds{};
    std::map<task_id, unsigned> m_recordedFailures{};
    std::vector<std::string> m_violations{};
};

/** A job of one step. */
[[nodiscard]] job_record makeJob(const std::string &id, std::uint32_t tasks,
                                 std::int64_t cpu = 1000);

} // namespace azurelb::test
