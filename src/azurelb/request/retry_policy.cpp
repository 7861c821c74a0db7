#include <azurelb/request/retry_policy.hpp>

#include <algorithm>

namespace azurelb {

bool isRetryable(attempt_state state, const retry_context &policy) noexcept
{
    if (policy.attempts >= maxAttempts)
        return false;
    switch (state) {
    case attempt_state::not_sent:
    case attempt_state::withheld:
    case attempt_state::refused:
        return true;
    case attempt_state::unknown:
        return policy.idempotent;
    case attempt_state::answered:
        return false;
    }
    return false;
}

duration attemptTimeout(duration meanRunTime, duration timeLeft) noexcept
{
    constexpr duration usualTimeout{std::chrono::seconds{3}};
    constexpr int meanRunFactor = 8;
    return std::max(std::min(usualTimeout, timeLeft / 2), meanRunFactor * meanRunTime);
}

bool needsBudget(attempt_state state) noexcept
{
    return state == attempt_state::unknown || state == attempt_state::refused;
}

} // namespace azurelb
