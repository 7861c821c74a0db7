#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <chrono>

namespace azurelb {

/** Demand of one queue over a recent interval, summed over all daemons. */
struct queue_demand
{
    queue_name queue{};
    /** Requests that arrived in one second. */
    double arrivalsPerSecond{};
    /** Mean time that a request held its slot. */
    std::chrono::milliseconds runTime{};
    /** Mean wait of the requests that got a slot in the interval. */
    std::chrono::milliseconds wait{};
};

} // namespace azurelb
