#pragma once

#include <azurelb/core/fwd.hpp>

#include <cstdint>

namespace azurelb {

/** Totals of one queue at one daemon since the daemon started. */
struct queue_totals
{
    std::uint64_t arrivals{0};
    /** Requests that got a slot, and the total time they waited for it. */
    std::uint64_t granted{0};
    std::chrono::microseconds waitTime{};
    /** Attempts that ended, and the total time they held their slots. */
    std::uint64_t ended{0};
    std::chrono::microseconds runTime{};
};

} // namespace azurelb
