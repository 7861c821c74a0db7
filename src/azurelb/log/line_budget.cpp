#include <azurelb/log/event.hpp>
#include <azurelb/log/line_budget.hpp>

#include <utility>

namespace azurelb {

line_budget::line_budget(std::uint32_t linesPerSecond) noexcept
    : m_linesPerSecond{linesPerSecond}
{ }

line_budget::verdict line_budget::admit(event id, time_point now)
{
    usage &used = m_usage[static_cast<int>(id)];
    if (now - used.windowBegan >= std::chrono::seconds{1}) {
        used.windowBegan = now;
        used.lines = 0;
    }
    if (used.lines >= m_linesPerSecond) {
        ++used.leftOut;
        return {false, 0};
    }
    ++used.lines;
    return {true, std::exchange(used.leftOut, 0)};
}

void line_budget::noteLost(event id)
{
    ++m_usage[static_cast<int>(id)].leftOut;
}

} // namespace azurelb
