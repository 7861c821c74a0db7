#pragma once

#include <azurelb/jobs/resources.hpp>

#include <cstddef>

namespace azurelb {

/** Demand and room of one pool. */
struct pool_load
{
    /** Requests of all tasks that run or could run now, but for long-running ones. */
    resources demand{};
    /** Part of the demand whose jobs can no longer meet their objective. */
    resources lateDemand{};
    /** Cores that arrivals ask for, by their rate or by forecast. */
    double expectedCores{0};
    /** Requests of long-running tasks. */
    resources longRunningDemand{};
    /** Largest number of long-running tasks of one step that must be on different executors. */
    std::size_t minDistinctExecutors{0};
    /** Sum over the usable executors. */
    resources capacity{};
    std::size_t executors{0};
};

} // namespace azurelb
