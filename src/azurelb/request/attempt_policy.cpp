#include <azurelb/request/attempt_policy.hpp>

#include <algorithm>

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

duration patienceFor(duration meanRun, duration left) noexcept
{
    constexpr duration enough{std::chrono::seconds{3}};
    constexpr int usualRuns = 8;
    return std::max(std::min(enough, left / 2), usualRuns * meanRun);
}

bool needsBudget(attempt_state ended) noexcept
{
    return ended == attempt_state::unknown || ended == attempt_state::refused;
}

} // namespace azurelb
