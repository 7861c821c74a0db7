#pragma once

#include <azurelb/fleet/fwd.hpp>

#include <chrono>
#include <cstdint>

namespace azurelb {

/**
 * Returns the probability that a request waits for a slot under Poisson arrivals (Erlang C
 * formula). The load is the mean number of busy slots, in erlangs. Returns 1 if it reaches the
 * slots.
 */
[[nodiscard]] double erlangC(std::uint32_t slots, double load) noexcept;

/**
 * Returns the fewest slots at which the given percentile (1 to 99) of waits stays within the target
 * wait, for an M/M/c queue: P(wait > t) = C(c, a) exp(-(c - a) t / runTime). Load in erlangs.
 */
[[nodiscard]] std::uint32_t requiredSlots(double load, std::chrono::milliseconds runTime,
                                          std::chrono::milliseconds wait,
                                          std::uint32_t percentile) noexcept;

} // namespace azurelb
