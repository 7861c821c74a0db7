#pragma once

#include <azurelb/share/fwd.hpp>

#include <span>

namespace azurelb {

/** Demand of one consumer for a divisible resource, and its allocation. */
struct weighted_demand
{
    double weight{};
    double demand{};
    double allocated{};
};

/**
 * Sets the allocations by weighted max-min fairness: no allocation exceeds its demand, and what
 * one consumer leaves unused is divided among the others by weight (Bertsekas and Gallager, Data
 * Networks, 6.5).
 */
void allocateMaxMinFair(std::span<weighted_demand> demands, double total);

} // namespace azurelb
