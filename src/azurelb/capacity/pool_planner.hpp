#pragma once

#include <azurelb/capacity/fwd.hpp>
#include <azurelb/capacity/vm_view.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/scheduling/pool_load.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb {

struct pool_planner_options
{
    /** Part of the demand of open tasks that a pool is sized for. Runs of a turn end and make
        room before the last of its tasks could start on a VM that arrives later. */
    double demandFactor{0.8};
    /** The same for jobs that are late: their callers gain little, so they take what room is left
        over rather than keep VMs from the next turn. */
    double lateFactor{0.4};
    /** Part of the expected cores that a pool is sized for. */
    double expectedFactor{1.0};
    /** VMs that a pool keeps in any case. */
    std::size_t minVms{2};
    /** Part of an equal share of all VMs that a pool keeps ready between its turns, while no other
        pool lacks them. A VM that is moved on demand comes 2 s after the first jobs of a turn;
        those seconds cost more than the VM does in the pool. Trials: 0.5 and 0.7. */
    double readyShare{0.5};
    /** A VM without runs for this long may leave for a pool that lacks VMs. */
    std::chrono::milliseconds reassignIdleTime{300};
    /** It is parked after this time. A move costs as much as 1.1 s in a pool, and the next turn
        mostly needs the VM within that time. */
    std::chrono::milliseconds standbyIdleTime{1200};
};

/** Demand of one pool and the VMs on their way to it. */
struct planned_pool
{
    std::string name{};
    bool standby{false};
    pool_load load{};
    std::size_t arrivingVms{0};
};

/** A VM that should go to another pool. */
struct vm_move
{
    std::string vm{};
    std::string pool{};
};

/** Number of VMs of the capacity that the pool needs now. */
[[nodiscard]] std::size_t vmsNeeded(const pool_load &load, const resources &vmCapacity,
                                    const pool_planner_options &options);

/**
 * Moves that bring VMs to where the open tasks are. Load pattern: queues that ask five times their
 * mean by turns, one after the other. VMs without runs go straight from a pool whose turn is over
 * to the one that lacks most, then come those in standby, then those that other pools keep ready
 * for their own turn. What is left fills up the ready VMs; the rest is parked, since a VM in a
 * pool is paid for.
 */
[[nodiscard]] std::vector<vm_move> planMoves(const std::vector<planned_pool> &pools,
                                             const std::vector<vm_view> &vms, boot_time now,
                                             const pool_planner_options &options);

} // namespace azurelb
