#include <azurelb/control/load_monitor.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

void load_monitor::recordTick(bool blocked, boot_time now)
{
    const milliseconds due = m_options.tickInterval;
    const milliseconds delay = m_lastTick == boot_time{}
        ? milliseconds{0}
        : std::max(now - m_lastTick - due, milliseconds{0});
    m_lastTick = now;
    m_maxDelay = std::max(m_maxDelay, delay);
    m_badTicks = blocked || delay >= m_options.lateAfter ? m_badTicks + 1 : 0;
}

milliseconds load_monitor::takeMaxDelay() noexcept
{
    return std::exchange(m_maxDelay, milliseconds{0});
}

} // namespace azurelb
