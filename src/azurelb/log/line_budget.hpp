#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/log/fwd.hpp>

#include <cstdint>
#include <unordered_map>

namespace azurelb {

/** Bounds the lines that each event writes in a second. */
class line_budget
{
public:
    /** What to do with a line. */
    struct verdict
    {
        bool write{true};
        /** Lines of this event that were left out since its last one. */
        std::uint64_t leftOut{0};
    };

    explicit line_budget(std::uint32_t linesPerSecond) noexcept;

    [[nodiscard]] verdict admit(event id, time_point now);

    /** An admitted line could not be written. */
    void noteLost(event id);

private:
    struct usage
    {
        time_point windowBegan{};
        std::uint32_t lines{0};
        std::uint64_t leftOut{0};
    };

    std::uint32_t m_linesPerSecond;
    std::unordered_map<int, usage> m_usage{};
};

} // namespace azurelb
