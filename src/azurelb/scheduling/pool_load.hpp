#pragma once

#include <azurelb/jobs/resources.hpp>

#include <cstddef>

namespace azurelb {

/** Demand and capacity of one pool. */
struct pool_load
{
    /** Requests of all tasks that run or are ready to run, except long-running ones. */
    resources demand{};
    /** Part of the demand that belongs to jobs which can no longer meet their objective. */
    resources lateDemand{};
    /** Processor time that accepted jobs still need, in core-milliseconds, except for long-running
        tasks. A running task counts for half of its estimate. */
    double remainingCoreMs{0};
    /** Cores that new jobs need, by their arrival rate or by forecast. */
    double expectedCores{0};
    /** Requests of long-running tasks. */
    resources longRunningDemand{};
    /** Least number of executors that the placement limits of long-running steps need. */
    std::size_t minDistinctExecutors{0};
    /** Sum over the executors that accept new runs. */
    resources capacity{};
    std::size_t executors{0};
};

} // namespace azurelb
