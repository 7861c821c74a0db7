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

/** Executors, the runs that hold room on them, and how long those can last. */
class executor_table
{
public:
    explicit executor_table(const scheduling_options &options);

    /** Takes over a registration; a new life under the same identifier must be erased before. */
    executor_entry &insert(const executor_registration &info, boot_time now);

    [[nodiscard]] executor_entry *find(const executor_id &id) noexcept;
    [[nodiscard]] const executor_entry *find(const executor_id &id) const noexcept;
    [[nodiscard]] assignment *find(const executor_id &id, const task_id &task) noexcept;
    void erase(const executor_id &id);

    /** Reserves room for a run. */
    assignment &assign(executor_entry &executor, const task_id &task, assignment added);

    /** Gives the room of a run back. */
    void release(executor_entry &executor, const task_id &task, boot_time now);

    /** End of a lease that is granted now, by the executor's clock. Precondition: contacted. */
    [[nodiscard]] std::chrono::milliseconds leaseEnd(const executor_entry &executor,
                                                     boot_time now) const noexcept;

    /** Notes that a lease until that end has been sent. */
    void recordLease(executor_entry &executor, std::chrono::milliseconds leaseEnd) const noexcept;

    /** The executor has answered: an earlier owner can grant no lease on it any more. */
    void capEarlierLeases(executor_entry &executor, boot_time now) const noexcept;

    /** Pools with executors that may hold runs of an earlier owner and have not answered. */
    [[nodiscard]] std::set<std::string> poolsWithUnknownRuns(boot_time now) const;

    /** The earlier owner had stopped giving orders: its leases end within one term. */
    void recordOrderlyHandover(boot_time now) noexcept;

    /** Executors whose runs have ended, as their lease is over and they do not answer. */
    [[nodiscard]] std::vector<executor_id> executorsWithExpiredLease(boot_time now) const;

    [[nodiscard]] std::unordered_map<executor_id, executor_entry> &all() noexcept
    {
        return m_executors;
    }
    [[nodiscard]] const std::unordered_map<executor_id, executor_entry> &all() const noexcept
    {
        return m_executors;
    }
    [[nodiscard]] const team_usage &teams() const noexcept { return m_teams; }

private:
    scheduling_options m_options;
    std::unordered_map<executor_id, executor_entry> m_executors{};
    team_usage m_teams{};
};

} // namespace azurelb
