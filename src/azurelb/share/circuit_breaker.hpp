#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/share/fwd.hpp>

namespace azurelb {

/**
 * Circuit breaker of one upstream. It opens after consecutive failures or when nearly all recent
 * attempts failed. After an exponential backoff it admits one request; if that succeeds, it
 * closes and doubles the usable slots with each further success. Latency is not considered.
 */
class circuit_breaker
{
    void open(time_point now);
    void recordFailures(std::uint64_t failed, time_point now);
    void recordAnswers(std::uint64_t answered);
    [[nodiscard]] bool isFailing() const noexcept;

public:
    /** Adds the outcomes of the attempts since the previous call. */
    void record(const outcome_count &added, time_point now);

    /**
     * Returns how many of the upstream's slots may be used now. Changes to half-open once the
     * backoff has expired.
     */
    [[nodiscard]] std::uint32_t allowedSlots(std::uint32_t slots, time_point now);

    /** Returns true while the circuit is open or half-open, so that at most one request runs. */
    [[nodiscard]] bool isOpen() const noexcept { return m_state != state::closed; }

private:
    enum class state { closed, open, half_open };

    state m_state{state::closed};
    std::uint32_t m_slotLimit{UINT32_MAX};
    std::uint64_t m_consecutiveFailures{0};
    double m_recentAttempts{0};
    double m_recentFailures{0};
    duration m_backoff{};
    time_point m_retryAt{};
    time_point m_refusedUntil{};
};

} // namespace azurelb
