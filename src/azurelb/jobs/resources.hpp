#pragma once

#include <cstdint>

namespace azurelb {

/** Amount of processor, memory and accelerators. */
struct resources
{
    /** Thousandths of a core (millicores). */
    std::int64_t cpu{0};
    /** Megabytes. */
    std::int64_t memory{0};
    /** Number of accelerators. */
    std::int64_t accelerators{0};

    constexpr resources &operator+=(const resources &other) noexcept
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr resources &operator-=(const resources &other) noexcept
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }

    [[nodiscard]] friend constexpr resources operator+(resources left,
                                                       const resources &right) noexcept
    {
        return left += right;
    }

    [[nodiscard]] friend constexpr resources operator-(resources left,
                                                       const resources &right) noexcept
    {
        return left -= right;
    }

    [[nodiscard]] friend constexpr resources operator*(const resources &each,
                                                       std::int64_t count) noexcept
    {
        return {each.cpu * count, each.memory * count, each.accelerators * count};
    }

    [[nodiscard]] friend constexpr bool operator==(const resources &,
                                                   const resources &) noexcept = default;
};

/** Returns whether the request fits into the free resources. */
[[nodiscard]] constexpr bool fits(const resources &request, const resources &free) noexcept
{
    return request.cpu <= free.cpu && request.memory <= free.memory
        && request.accelerators <= free.accelerators;
}

} // namespace azurelb
