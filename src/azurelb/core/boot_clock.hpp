#pragma once

#include <chrono>

namespace azurelb {

/**
 * Monotonic clock that keeps counting while the VM is suspended (CLOCK_BOOTTIME). Leases and all
 * time limits that another process relies on are measured with it, because a steady clock stops
 * during a suspension.
 */
struct boot_clock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;

    [[nodiscard]] static time_point now() noexcept;
};

using boot_time = boot_clock::time_point;

/** Unix time in milliseconds. It can jump and differs between VMs. */
[[nodiscard]] std::chrono::milliseconds unixNow() noexcept;

} // namespace azurelb
