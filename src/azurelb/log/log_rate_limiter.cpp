#include <azurelb/log/event.hpp>
#include <azurelb/log/log_rate_limiter.hpp>

#include <utility>

namespace azurelb {

log_rate_limiter::log_rate_limiter(std::uint32_t maxLinesPerSecond) noexcept
    : m_maxLinesPerSecond{maxLinesPerSecond}
{ }

log_rate_limiter::decision log_rate_limiter::admit(event id, time_point now)
{
    event_window &used = m_windows[static_cast<int>(id)];
    if (now - used.windowStart >= std::chrono::seconds{1}) {
        used.windowStart = now;
        used.lines = 0;
    }
    if (used.lines >= m_maxLinesPerSecond) {
        ++used.droppedLines;
        return {false, 0};
    }
    ++used.lines;
    return {true, std::exchange(used.droppedLines, 0)};
}

void log_rate_limiter::countDropped(event id)
{
    ++m_windows[static_cast<int>(id)].droppedLines;
}

} // namespace azurelb
