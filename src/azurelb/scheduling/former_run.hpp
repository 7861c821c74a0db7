#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <cstdint>
#include <string_view>

namespace azurelb {

/** Why a run no longer stands in the way of another start of its task. */
enum class release_reason {
    /** This owner has no record of a former run. */
    none,
    /** The executor reported its end. */
    ended,
    /** Its executor did not carry out the start order. */
    not_started,
    /** It was on a former incarnation of its executor. */
    executor_restarted,
    /** Its executor has ended. */
    executor_ended,
    /** Its executor does not answer, and the latest end of its lease has passed. */
    lease_over,
    /** A report that lists all runs and ends of its executor does not list it. */
    not_listed,
    /** Earlier owners may have started it; all executors that may have it have reported, or the
        latest end of their leases has passed. */
    earlier_owner
};

[[nodiscard]] constexpr std::string_view toString(release_reason reason) noexcept
{
    switch (reason) {
    case release_reason::none:
        return "none";
    case release_reason::ended:
        return "ended";
    case release_reason::not_started:
        return "not-started";
    case release_reason::executor_restarted:
        return "executor-restarted";
    case release_reason::executor_ended:
        return "executor-ended";
    case release_reason::lease_over:
        return "lease-over";
    case release_reason::not_listed:
        return "not-listed";
    case release_reason::earlier_owner:
        return "earlier-owner";
    }
    return "invalid";
}

/** What is known of the last run of a task that has none now. */
struct former_run
{
    run_number run{0};
    release_reason reason{release_reason::none};
    /** Runs of the task that this owner has started or adopted. */
    std::uint32_t starts{0};
};

} // namespace azurelb
