#include <azurelb/request/attempt_policy.hpp>

namespace azurelb {

bool isRetryable(attempt_state ended, const attempt_policy &policy) noexcept
{
    if (policy.attempts >= mostAttempts)
        return false;
    switch (ended) {
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

bool needsBudget(attempt_state ended) noexcept
{
    return ended == attempt_state::unknown || ended == attempt_state::refused;
}

} // namespace azurelb
