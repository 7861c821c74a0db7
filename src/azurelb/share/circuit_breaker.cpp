#include <azurelb/share/circuit_breaker.hpp>
#include <azurelb/share/slot_report.hpp>

#include <algorithm>

namespace azurelb {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t consecutiveFailuresToOpen{5};
constexpr double minAttempts{20};
constexpr double failureRatioToOpen{0.9};
constexpr double maxRecentAttempts{100};
constexpr duration initialBackoff{250ms};
constexpr duration maxBackoff{4s};
constexpr duration refusalBackoff{50ms};

} // namespace

bool circuit_breaker::isFailing() const noexcept
{
    const bool isRamping = m_slotLimit != UINT32_MAX;
    const bool allFail = m_recentAttempts >= minAttempts
        && m_recentFailures >= failureRatioToOpen * m_recentAttempts;
    return m_consecutiveFailures >= (isRamping ? 1 : consecutiveFailuresToOpen) || allFail;
}

void circuit_breaker::open(time_point now)
{
    m_state = state::open;
    m_backoff = m_backoff == duration{} ? initialBackoff : std::min(2 * m_backoff, maxBackoff);
    m_retryAt = now + m_backoff;
    m_recentAttempts = 0;
    m_recentFailures = 0;
    m_consecutiveFailures = 0;
}

void circuit_breaker::recordFailures(std::uint64_t failed, time_point now)
{
    m_consecutiveFailures += failed;
    m_recentFailures += static_cast<double>(failed);
    if (m_state == state::half_open || (m_state == state::closed && isFailing()))
        open(now);
}

void circuit_breaker::recordAnswers(std::uint64_t answered)
{
    m_consecutiveFailures = 0;
    if (m_state == state::half_open) {
        m_state = state::closed;
        m_slotLimit = 1;
    }
    constexpr std::uint32_t unlimitedFrom{1024};
    for (; answered > 0 && m_slotLimit < unlimitedFrom; --answered)
        m_slotLimit *= 2;
    if (m_state == state::closed && m_slotLimit >= unlimitedFrom) {
        m_slotLimit = UINT32_MAX;
        m_backoff = {};
    }
}

void circuit_breaker::record(const outcome_count &added, time_point now)
{
    if (added.refused > 0)
        m_refusedUntil = now + refusalBackoff;
    if (m_state == state::open)
        return;
    m_recentAttempts += static_cast<double>(added.answered + added.failed);
    if (added.answered > 0)
        recordAnswers(added.answered);
    if (added.failed > 0 && added.answered == 0)
        recordFailures(added.failed, now);
    else
        m_recentFailures += static_cast<double>(added.failed);
    if (m_state == state::closed && isFailing())
        open(now);
    if (m_recentAttempts > maxRecentAttempts) {
        m_recentAttempts /= 2;
        m_recentFailures /= 2;
    }
}

std::uint32_t circuit_breaker::allowedSlots(std::uint32_t slots, time_point now)
{
    if (m_state == state::open && now >= m_retryAt)
        m_state = state::half_open;
    if (m_state == state::open)
        return 0;
    if (m_state == state::half_open)
        return std::min<std::uint32_t>(slots, 1);
    const std::uint32_t usable = std::min(slots, m_slotLimit);
    return now < m_refusedUntil ? (usable + 1) / 2 : usable;
}

} // namespace azurelb
