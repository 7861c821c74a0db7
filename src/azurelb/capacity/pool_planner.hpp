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
    /** Fraction of the demand of open tasks that a pool is sized for. It is below 1 because running
        tasks free capacity before the last tasks of a burst could start on a newly moved VM. */
    double demandFactor{0.8};
    /** Fraction of the demand of late jobs that a pool is sized for. Finishing them sooner gains
        little, so they use spare capacity rather than hold VMs that the next burst needs. */
    double lateFactor{0.4};
    /** Fraction of the predicted cores that a pool is sized for. It is above 1 because the tasks on
       a VM leave a part of its cores unused. */
    double expectedFactor{1.07};
    /** Minimum size of a pool, in VMs. */
    std::size_t minVms{2};
    /** Fraction of an equal share of all VMs that a pool keeps between bursts while no other pool
        needs them. A VM that is moved on demand arrives 2 s after the first jobs of a burst, and
        that delay costs more than keeping the VM in the pool. */
    double readyShare{0.5};
    /** Idle time after which a VM may move to a pool that needs it. */
    std::chrono::milliseconds reassignIdleTime{300};
    /** Idle time after which an unneeded VM moves to the standby pool. A move costs as much as
        1.1 s of VM time in a pool, and the next burst usually needs the VM within that time. */
    std::chrono::milliseconds standbyIdleTime{1200};
    /** Number of VMs that stay in the pools in total, whether they are idle or not. Bursts follow
        one another, and the next one needs the VMs of the last. */
    std::size_t minActiveVms{0};
};

/** Demand of one pool and the number of VMs that are moving to it. */
struct planned_pool
{
    std::string name{};
    bool standby{false};
    pool_load load{};
    std::size_t arrivingVms{0};
};

/** Move of a VM to another pool. */
struct vm_move
{
    std::string vm{};
    std::string pool{};
};

/** Returns the mean capacity of the VMs. */
[[nodiscard]] resources averageCapacity(const std::vector<vm_view> &vms);

/**
 * Returns the number of VMs of capacity vmCapacity that a pool with this load needs, at least
 * options.minVms and load.minDistinctExecutors.
 */
[[nodiscard]] std::size_t vmsNeeded(const pool_load &load, const resources &vmCapacity,
                                    const pool_planner_options &options);

/** Returns the number of VMs of all pools together that a burst of these cores in any of them
   needs, with the long-running tasks of all pools. */
[[nodiscard]] std::size_t vmsOfBurst(const std::vector<planned_pool> &pools,
                                     const resources &vmCapacity, double burstCores,
                                     const pool_planner_options &options);

/**
 * Plans moves of idle VMs to the pools that need capacity.
 *
 * Expected load: queues burst one after the other, each to five times its mean. A pool in need is
 * filled from VMs that are surplus elsewhere, then from the standby pool, then from VMs that other
 * pools keep ready for their own next burst. Remaining idle VMs restore the ready VMs of the pools;
 * the rest moves to the standby pool, because VMs in other pools are charged.
 */
[[nodiscard]] std::vector<vm_move> planMoves(const std::vector<planned_pool> &pools,
                                             const std::vector<vm_view> &vms, boot_time now,
                                             const pool_planner_options &options);

} // namespace azurelb
