#pragma once

#include <chrono>

namespace azurelb {

/**
 * Monotonic time that also counts while the VM is suspended. Leases and every bound that another
 * process relies on are measured with it: a steady clock stands still during a suspension.
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

/** Time of day in Unix time. It may jump and differs between VMs. */
[[nodiscard]] std::chrono::milliseconds unixNow() noexcept;

} // namespace azurelb
