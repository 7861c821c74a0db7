#pragma once

#include <azurelb/share/fwd.hpp>

#include <span>

namespace azurelb {

/** One demand for a divisible resource. */
struct weighted_demand
{
    double weight{};
    /** The most that it can use. */
    double demand{};
    /** What it gets. */
    double allocated{};
};

/**
 * Divides the total by weight so that no demand gets more than it can use, and what one leaves goes
 * to the others by weight (weighted max-min fairness; Bertsekas and Gallager, Data Networks, 6.5).
 */
void allocateMaxMinFair(std::span<weighted_demand> demands, double total);

} // namespace azurelb
