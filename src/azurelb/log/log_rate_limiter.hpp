#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/log/fwd.hpp>

#include <cstdint>
#include <unordered_map>

namespace azurelb {

/** Limits the number of lines per second that each event writes. */
class log_rate_limiter
{
public:
    /** Whether a line may be written. */
    struct decision
    {
        bool write{true};
        /** Lines of this event that were dropped since its last written one. */
        std::uint64_t droppedLines{0};
    };

    explicit log_rate_limiter(std::uint32_t maxLinesPerSecond) noexcept;

    [[nodiscard]] decision admit(event id, time_point now);

    /** Returns whether admit() would permit a line. */
    [[nodiscard]] bool hasRoom(event id, time_point now) const;

    /** Counts a line that was not written. */
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
