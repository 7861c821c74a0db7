#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/request/fwd.hpp>
#include <azurelb/upstream/attempt_state.hpp>

namespace azurelb {

/** What isRetryable() needs to know about a request. */
struct retry_context
{
    bool idempotent{false};
    /** Number of attempts made so far. */
    unsigned attempts{0};
};

/** Maximum number of attempts for one request, including the first. */
inline constexpr unsigned maxAttempts{4};

/**
 * True if another attempt cannot make the request take effect twice: the last one was not sent or
 * was refused, or the request is idempotent. False once maxAttempts is reached.
 */
[[nodiscard]] bool isRetryable(attempt_state state, const retry_context &policy) noexcept;

/**
 * How long to wait for the response to an idempotent request before another upstream is tried. The
 * timeout is long enough that a slow upstream is rarely abandoned and, where the mean run time
 * allows it, short enough that the remaining time suffices for another attempt.
 * @param meanRunTime mean run time of the queue's requests
 * @param timeLeft time until the request's deadline
 */
[[nodiscard]] duration attemptTimeout(duration meanRunTime, duration timeLeft) noexcept;

/** True if the retry adds load to the upstreams and must be paid for from the retry budget. */
[[nodiscard]] bool needsBudget(attempt_state state) noexcept;

} // namespace azurelb
