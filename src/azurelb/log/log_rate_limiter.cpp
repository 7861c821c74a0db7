#include <azurelb/log/event.hpp>
#include <azurelb/log/log_rate_limiter.hpp>

#include <utility>

namespace azurelb {

log_rate_limiter::log_rate_limiter(std::uint32_t maxLinesPerSecond) noexcept
    : m_maxLinesPerSecond{maxLinesPerSecond}
{ }

log_rate_limiter::decision log_rate_limiter::admit(event id, time_point now)
{
    event_window &window = m_windows[static_cast<int>(id)];
    if (now - window.windowStart >= std::chrono::seconds{1}) {
        window.windowStart = now;
        window.lines = 0;
    }
    if (window.lines >= m_maxLinesPerSecond) {
        ++window.droppedLines;
        return {false, 0};
    }
    ++window.lines;
    return {true, std::exchange(window.droppedLines, 0)};
}

bool log_rate_limiter::hasRoom(event id, time_point now) const
{
    const auto found = m_windows.find(static_cast<int>(id));
    return found == m_windows.end() || found->second.lines < m_maxLinesPerSecond
        || now - found->second.windowStart >= std::chrono::seconds{1};
}

void log_rate_limiter::countDropped(event id)
{
    ++m_windows[static_cast<int>(id)].droppedLines;
}

} // namespace azurelb
