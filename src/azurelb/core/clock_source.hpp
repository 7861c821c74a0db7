#pragma once

#include <azurelb/core/fwd.hpp>

namespace azurelb {

/** Where services read the time; tests put a virtual clock in its place. */
class clock_source
{
public:
    clock_source() = default;
    clock_source(const clock_source &) = delete;
    clock_source &operator=(const clock_source &) = delete;
    virtual ~clock_source() = default;

    /** Monotonic time, for every bound and deadline. */
    [[nodiscard]] virtual time_point now() const noexcept = 0;

    /** Time of day, for records only; no decision rests on it. */
    [[nodiscard]] virtual wall_time wallNow() const noexcept = 0;
};

} // namespace azurelb
