#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/limits/fwd.hpp>

#include <algorithm>

namespace azurelb {

/** Sliding maximum of a team's rights in use over the last one to two windows. */
class peak_usage
{
public:
    void record(right_count inUse) noexcept { m_current = std::max(m_current, inUse); }

    /** Starts a new window with the current use if the present one is over. */
    void advance(time_point now, duration window, right_count inUse) noexcept
    {
        if (now - m_windowBegin < window)
            return;
        const bool skipped = now - m_windowBegin >= 2 * window;
        m_previous = skipped ? inUse : m_current;
        m_current = inUse;
        m_windowBegin = now;
    }

    [[nodiscard]] right_count value() const noexcept { return std::max(m_previous, m_current); }

private:
    right_count m_previous{};
    right_count m_current{};
    time_point m_windowBegin{};
};

} // namespace azurelb
