#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <string_view>

namespace azurelb {

/** What the answer to a start tells. */
enum class start_outcome {
    started,
    /** A newer owner has ordered on this executor. */
    fenced,
    /** The executor knows a run that is not lower. */
    outdated,
    /** The lease had ended when the order arrived. */
    expired,
    /** Not enough room. */
    full,
    /** The ticket of the placement policy does not hold. */
    invalid_ticket,
    /** The executor did nothing as it is not healthy. */
    unhealthy,
    /** The order is malformed. */
    rejected,
    /** Another life of the executor answered. */
    other_incarnation,
    /** No answer: the run may exist, now or later. */
    unknown
};

[[nodiscard]] constexpr std::string_view toString(start_outcome outcome) noexcept
{
    switch (outcome) {
    case start_outcome::started:
        return "started";
    case start_outcome::fenced:
        return "fenced";
    case start_outcome::outdated:
        return "outdated";
    case start_outcome::expired:
        return "expired";
    case start_outcome::full:
        return "full";
    case start_outcome::invalid_ticket:
        return "no-ticket";
    case start_outcome::unhealthy:
        return "unhealthy";
    case start_outcome::rejected:
        return "rejected";
    case start_outcome::other_incarnation:
        return "other-life";
    case start_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace azurelb
