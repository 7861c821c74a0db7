#pragma once

#include <azurelb/admission/load_forecast.hpp>

#include <chrono>
#include <string>

namespace azurelb {

/** Work and capacity of a pool. */
struct pool_room
{
    std::string pool{};
    /** Processor time that accepted short work still needs, in core-milliseconds. */
    double remainingCoreMs{0};
    /** Cores that serve short work now. */
    double cores{0};
    /** Further cores that can serve the pool from arrivalDelay on. */
    double arrivingCores{0};
    std::chrono::milliseconds arrivalDelay{0};
};

/** Longest drain time that is predicted; a pool without cores has this. */
inline constexpr std::chrono::milliseconds maxDrainTime{60'000};

/**
 * Predicts when the pool's accepted work is done.
 *
 * Load pattern: a queue asks for five times its mean for some seconds, more than its pool holds,
 * and VMs arrive from other pools 1.6 s later. The work is taken as a fluid: with the present cores
 * c until the delay d and with c + a cores afterwards, work W takes W / c, or d + (W - c d) / (c +
 * a) if that is more than d.
 */
[[nodiscard]] pool_forecast predictDrain(const pool_room &room);

} // namespace azurelb
