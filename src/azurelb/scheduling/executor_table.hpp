#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/scheduling/executor_entry.hpp>
#include <azurelb/scheduling/fwd.hpp>
#include <azurelb/scheduling/scheduling_options.hpp>
#include <azurelb/scheduling/team_usage.hpp>

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurelb {

/** Returns whether an earlier owner may have runs, or ends of runs, on the executor that it has not
    reported yet. */
[[nodiscard]] bool mayHaveUnknownRuns(const executor_entry &executor, boot_time now) noexcept;

/** Tracks executors, the runs assigned to them and the leases that bound these runs. */
class executor_table
{
public:
    /** Age of an executor that doesn't tell when it has started; taken for old. */
    static constexpr std::chrono::milliseconds unknownAge{std::chrono::milliseconds::max()};

    explicit executor_table(const scheduling_options &options);

    /** Inserts or updates the executor. Call erase() or restart() before if an earlier incarnation
        with the same identifier is known. An unknown start time leaves a known one as it is. A new
        entry of a young executor expects leases of a former incarnation. */
    executor_entry &insert(const executor_registration &info, boot_time now,
                           std::chrono::milliseconds age);

    [[nodiscard]] executor_entry *find(const executor_id &id) noexcept;
    [[nodiscard]] const executor_entry *find(const executor_id &id) const noexcept;
    [[nodiscard]] assignment *find(const executor_id &id, const task_id &task) noexcept;
    void erase(const executor_id &id);

    /** Resets what is known of the executor's former incarnation. Its assignments stay. The new one
        counts as not registered until insert() is called. */
    void restart(executor_entry &executor, std::int64_t startedUnixMs, boot_time now) const;

    /** Reserves resources for a run. */
    assignment &assign(executor_entry &executor, const task_id &task, assignment added);

    /** Releases the resources of a run. */
    void release(executor_entry &executor, const task_id &task, boot_time now);

    /** Returns the end of a lease granted now, in the executor's clock. Precondition: the executor
        has been contacted. */
    [[nodiscard]] std::chrono::milliseconds leaseEnd(const executor_entry &executor,
                                                     boot_time now) const noexcept;

    /** Records that a lease with this end, in the executor's clock, has been sent. */
    void recordLease(executor_entry &executor, std::chrono::milliseconds leaseEnd) const noexcept;

    /** Records that a lease meant for the clock of a former incarnation may have reached the
       present one, which shortens it to the longest term. */
    void recordFormerLease(executor_entry &executor, boot_time since) const noexcept;

    /** Returns an upper bound on the end of a lease that is meant for the clock of a former
        incarnation and was sent by the given time. */
    [[nodiscard]] boot_time formerLeaseEnd(boot_time sentBy) const noexcept;

    /** Call when the executor has answered this owner: it accepts no leases of earlier owners from
        then on, which bounds the leases that they have granted. */
    void capEarlierLeases(executor_entry &executor, boot_time now) const noexcept;

    /** Call if the previous owner stopped giving orders before the handover: its leases end within
        one lease term. */
    void recordOrderlyHandover(boot_time now) noexcept;

    /** Returns the unresponsive executors whose lease has expired, so that their runs have
        ended. */
    [[nodiscard]] std::vector<executor_id> executorsWithExpiredLease(boot_time now) const;

    [[nodiscard]] std::unordered_map<executor_id, executor_entry> &all() noexcept
    {
        return m_executors;
    }
    [[nodiscard]] const std::unordered_map<executor_id, executor_entry> &all() const noexcept
    {
        return m_executors;
    }
    /** Executors of the pool, in no particular order. */
    [[nodiscard]] const std::vector<executor_entry *> &ofPool(const std::string &pool) const;
    [[nodiscard]] std::set<std::string> pools() const;
    [[nodiscard]] const team_usage &teams() const noexcept { return m_teams; }

private:
    void removeFromPool(const executor_entry &executor);

    scheduling_options m_options;
    std::unordered_map<executor_id, executor_entry> m_executors{};
    std::unordered_map<std::string, std::vector<executor_entry *>> m_pools{};
    team_usage m_teams{};
};

} // namespace azurelb
