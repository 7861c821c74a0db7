#pragma once

#include <azurelb/jobs/fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <vector>

namespace azurelb {

/** Set of numbers that is kept as ranges. Its size in memory, and the time of each call, depend on
    the number of ranges alone. */
class number_set
{
public:
    /** All numbers from the first to the last. */
    struct range
    {
        std::uint32_t first{0};
        std::uint32_t last{0};
    };

    number_set() = default;
    number_set(std::initializer_list<std::uint32_t> numbers);

    /** Adds all numbers from the first to the last, of which some may be present. */
    void insert(std::uint32_t first, std::uint32_t last);
    void insert(std::uint32_t number) { insert(number, number); }

    [[nodiscard]] bool contains(std::uint32_t number) const noexcept;

    /** Returns the smallest number that is not less than the given one and is not in the set. */
    [[nodiscard]] std::uint64_t firstAbsent(std::uint32_t from) const noexcept;

    /** Number of elements. */
    [[nodiscard]] std::uint64_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_ranges.empty(); }

    /** Ascending; no two of them overlap or touch. */
    [[nodiscard]] const std::vector<range> &ranges() const noexcept { return m_ranges; }

private:
    /** Returns the first range that ends at the number or after it. */
    [[nodiscard]] std::vector<range>::const_iterator findRange(std::uint32_t number) const noexcept;

    std::vector<range> m_ranges{};
    std::uint64_t m_size{0};
};

} // namespace azurelb
