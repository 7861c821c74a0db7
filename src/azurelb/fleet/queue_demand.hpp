#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <chrono>

namespace azurelb {

/** Demand of one queue over a recent interval, across all daemons. */
struct queue_demand
{
    queue_name queue{};
    double arrivalsPerSecond{};
    /** Mean time that a request held its slot. */
    std::chrono::milliseconds runTime{};
    /** Mean wait of the requests that obtained a slot in the interval. */
    std::chrono::milliseconds wait{};
};

} // namespace azurelb
