#include <azurelb/share/circuit.hpp>
#include <azurelb/share/slot_report.hpp>

#include <algorithm>

namespace azurelb {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t mostConsecutive{5};
constexpr double leastAttempts{20};
constexpr double failingRatio{0.9};
constexpr double mostRemembered{100};
constexpr duration firstBackoff{250ms};
constexpr duration longestBackoff{4s};
constexpr duration refusalBackoff{50ms};

} // namespace

bool circuit::isFailing() const noexcept
{
    const bool isRamping = m_allowance != UINT32_MAX;
    const bool allFail = m_recent >= leastAttempts && m_recentFailed >= failingRatio * m_recent;
    return m_consecutive >= (isRamping ? 1 : mostConsecutive) || allFail;
}

void circuit::open(time_point now)
{
    m_state = state::open;
    m_backoff = m_backoff == duration{} ? firstBackoff : std::min(2 * m_backoff, longestBackoff);
    m_retryAt = now + m_backoff;
    m_recent = 0;
    m_recentFailed = 0;
    m_consecutive = 0;
}

void circuit::recordFailures(std::uint64_t failed, time_point now)
{
    m_consecutive += failed;
    m_recentFailed += static_cast<double>(failed);
    if (m_state == state::half_open || (m_state == state::closed && isFailing()))
        open(now);
}

void circuit::recordAnswers(std::uint64_t answered)
{
    m_consecutive = 0;
    if (m_state == state::half_open) {
        m_state = state::closed;
        m_allowance = 1;
    }
    constexpr std::uint32_t enough{1024};
    for (; answered > 0 && m_allowance < enough; --answered)
        m_allowance *= 2;
    if (m_state == state::closed && m_allowance >= enough) {
        m_allowance = UINT32_MAX;
        m_backoff = {};
    }
}

void circuit::record(const outcome_count &added, time_point now)
{
    if (added.refused > 0)
        m_refusedUntil = now + refusalBackoff;
    if (m_state == state::open)
        return;
    m_recent += static_cast<double>(added.answered + added.failed);
    if (added.answered > 0)
        recordAnswers(added.answered);
    if (added.failed > 0 && added.answered == 0)
        recordFailures(added.failed, now);
    else
        m_recentFailed += static_cast<double>(added.failed);
    if (m_state == state::closed && isFailing())
        open(now);
    if (m_recent > mostRemembered) {
        m_recent /= 2;
        m_recentFailed /= 2;
    }
}

std::uint32_t circuit::allowed(std::uint32_t slots, time_point now)
{
    if (m_state == state::open && now >= m_retryAt)
        m_state = state::half_open;
    if (m_state == state::open)
        return 0;
    if (m_state == state::half_open)
        return std::min<std::uint32_t>(slots, 1);
    const std::uint32_t usable = std::min(slots, m_allowance);
    return now < m_refusedUntil ? (usable + 1) / 2 : usable;
}

} // namespace azurelb
