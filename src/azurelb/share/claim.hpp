#pragma once

#include <azurelb/share/fwd.hpp>

#include <span>

namespace azurelb {

/** One claim on a divisible resource. */
struct claim
{
    double weight{};
    /** The most that it can use. */
    double most{};
    /** What it gets. */
    double given{};
};

/**
 * Divides the total by weight so that no claim gets more than it can use, and what one leaves goes
 * to the others by weight (weighted max-min fairness; Bertsekas and Gallager, Data Networks, 6.5).
 */
void divide(std::span<claim> claims, double total);

} // namespace azurelb
