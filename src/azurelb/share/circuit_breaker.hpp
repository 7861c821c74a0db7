#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/share/fwd.hpp>

namespace azurelb {

/**
 * Circuit breaker of one upstream. It opens when attempts fail in a row or nearly all of them
 * fail, lets one request through after a backoff that doubles, and closes by doubling the slots
 * with each success. The time that an answer takes plays no part.
 */
class circuit_breaker
{
    void open(time_point now);
    void recordFailures(std::uint64_t failed, time_point now);
    void recordAnswers(std::uint64_t answered);
    [[nodiscard]] bool isFailing() const noexcept;

public:
    /** Takes the outcomes of attempts since the last call. */
    void record(const outcome_count &added, time_point now);

    /** How many of the slots may be used now; ends the backoff when its time has come. */
    [[nodiscard]] std::uint32_t allowedSlots(std::uint32_t slots, time_point now);

    /** True while the upstream gets no more than single requests. */
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
