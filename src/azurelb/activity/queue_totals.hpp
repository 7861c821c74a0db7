#pragma once

#include <azurelb/core/fwd.hpp>

#include <cstdint>

namespace azurelb {

/** Work of one queue at one daemon since its start. */
struct queue_totals
{
    std::uint64_t arrivals{0};
    /** Requests that got a slot, and the time they waited for it. */
    std::uint64_t granted{0};
    std::chrono::microseconds waitTime{};
    /** Attempts that ended, and the time they held their slots. */
    std::uint64_t ended{0};
    std::chrono::microseconds runTime{};
};

} // namespace azurelb
