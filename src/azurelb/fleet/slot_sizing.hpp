#pragma once

#include <azurelb/fleet/fwd.hpp>

#include <chrono>
#include <cstdint>

namespace azurelb {

/**
 * Probability that a request waits when Poisson arrivals with the given load (mean number of busy
 * slots, in erlang) meet so many slots: the Erlang C formula. It is 1 if the load fills the slots.
 */
[[nodiscard]] double erlangC(std::uint32_t slots, double load) noexcept;

/**
 * Fewest slots at which the wait stays within the target at the percentile (1 to 99), by the
 * M/M/c queue: P(wait > t) = C(c, a) exp(-(c - a) t / runTime).
 */
[[nodiscard]] std::uint32_t requiredSlots(double load, std::chrono::milliseconds runTime,
                                          std::chrono::milliseconds wait,
                                          std::uint32_t percentile) noexcept;

} // namespace azurelb
