#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <cstddef>
#include <string_view>

namespace azurelb {

/** Outcome of a start order. */
enum class start_outcome {
    started,
    /** The executor has already accepted an order of a newer owner. */
    fenced,
    /** The executor knows a run of the task with the same or a higher number. */
    outdated,
    /** The lease had ended when the order arrived. */
    expired,
    /** Not enough free resources. */
    full,
    /** The ticket of the placement policy is not valid. */
    invalid_ticket,
    /** The executor is not healthy and ignored the order. */
    unhealthy,
    /** The order is malformed. */
    rejected,
    /** Another incarnation of the executor answered. */
    other_incarnation,
    /** The order was not sent, since its inputs had become outdated. */
    withheld,
    /** The order was not sent, since the executor has restarted under its identifier. */
    restarted,
    /** No answer: the run may exist already or start later. */
    unknown
};

/** Number of enumerators of start_outcome. */
inline constexpr std::size_t startOutcomeCount{static_cast<std::size_t>(start_outcome::unknown)
                                               + 1};

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
    case start_outcome::withheld:
        return "withheld";
    case start_outcome::restarted:
        return "restarted";
    case start_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace azurelb
