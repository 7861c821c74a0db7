#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/log/fwd.hpp>

#include <cstdint>
#include <unordered_map>

namespace azurelb {

/** Bounds the lines that each event writes in a second. */
class log_rate_limiter
{
public:
    /** What to do with a line. */
    struct decision
    {
        bool write{true};
        /** Lines of this event that were left out since its last one. */
        std::uint64_t droppedLines{0};
    };

    explicit log_rate_limiter(std::uint32_t maxLinesPerSecond) noexcept;

    [[nodiscard]] decision admit(event id, time_point now);

    /** An admitted line could not be written. */
    void countDropped(event id);

private:
    struct event_window
    {
        time_point windowStart{};
        std::uint32_t lines{0};
        std::uint64_t droppedLines{0};
    };

    std::uint32_t m_maxLinesPerSecond;
    std::unordered_map<int, event_window> m_windows{};
};

} // namespace azurelb
