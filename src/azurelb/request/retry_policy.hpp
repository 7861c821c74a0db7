#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/request/fwd.hpp>
#include <azurelb/upstream/attempt_state.hpp>

namespace azurelb {

/** What decides whether a request may be tried on another upstream. */
struct retry_context
{
    bool idempotent{false};
    /** Attempts made so far. */
    unsigned attempts{0};
};

/** Attempts that one request may take, with the first. */
inline constexpr unsigned maxAttempts{4};

/**
 * True if the attempt's end leaves no way in which another one could run the request a second time
 * with effect: it was not sent, was refused, or is idempotent.
 */
[[nodiscard]] bool isRetryable(attempt_state state, const retry_context &policy) noexcept;

/**
 * How long the answer to an idempotent request is awaited before another upstream is tried: long
 * enough that an upstream that is merely slow is rarely given up, and, where usual runs allow
 * it, so short that the time left is enough for another attempt.
 */
[[nodiscard]] duration attemptTimeout(duration meanRunTime, duration timeLeft) noexcept;

/** True if the retry puts load on the upstreams and is to be paid from the budget. */
[[nodiscard]] bool needsBudget(attempt_state state) noexcept;

} // namespace azurelb
