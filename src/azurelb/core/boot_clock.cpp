#include <azurelb/core/boot_clock.hpp>

#include <ctime>

namespace azurelb {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    const auto whole = std::chrono::seconds{reading.tv_sec};
    const auto part = std::chrono::nanoseconds{reading.tv_nsec};
    return time_point{std::chrono::floor<duration>(whole + part)};
}

std::chrono::milliseconds unixNow() noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace azurelb
