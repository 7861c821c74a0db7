#pragma once

#include <azurelb/core/clock_source.hpp>

namespace azurelb {

/** Reads the clocks of the machine. */
class steady_clock_source final : public clock_source
{
public:
    [[nodiscard]] time_point now() const noexcept override
    {
        return std::chrono::steady_clock::now();
    }

    [[nodiscard]] wall_time wallNow() const noexcept override
    {
        return std::chrono::system_clock::now();
    }
};

} // namespace azurelb
