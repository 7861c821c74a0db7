#pragma once

#include <azurelb/core/fwd.hpp>

namespace azurelb {

/** Source of time for services; tests substitute a virtual clock. */
class clock_source
{
public:
    clock_source() = default;
    clock_source(const clock_source &) = delete;
    clock_source &operator=(const clock_source &) = delete;
    virtual ~clock_source() = default;

    /** Monotonic time, for all deadlines and durations. */
    [[nodiscard]] virtual time_point now() const noexcept = 0;

    /** Time of day, for records only; no decision depends on it. */
    [[nodiscard]] virtual wall_time wallNow() const noexcept = 0;
};

} // namespace azurelb
