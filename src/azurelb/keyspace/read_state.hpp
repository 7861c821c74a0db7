#pragma once

#include <azurelb/core/boot_clock.hpp>

#include <optional>

namespace azurelb {

/** Age of data that a process keeps up to date from the store. */
struct read_state
{
    /** Send time of the call by which the store last confirmed that no change was missed. */
    boot_time confirmedAt{};
    /** Send time of the latest call, if that call failed. */
    std::optional<boot_time> failedAt{};
    /** Arrival time of the latest answer of the store, which worked up to then. */
    boot_time answeredAt{};
};

} // namespace azurelb
