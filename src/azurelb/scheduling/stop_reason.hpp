#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Why a run is stopped. */
enum class stop_reason {
    /** The job is completed, failed or cancelled. */
    job_over,
    /** Another run of the task has ended as done, or the run is of an earlier owner. */
    not_wanted,
    /** The answer to its start was lost, and the executor does not list it. */
    start_unconfirmed,
    /** Its progress stands still. */
    stalled,
    /** Its executor leaves. */
    draining,
    /** Maintenance of its VM is near. */
    maintenance
};

[[nodiscard]] constexpr std::string_view toString(stop_reason reason) noexcept
{
    switch (reason) {
    case stop_reason::job_over:
        return "job-over";
    case stop_reason::not_wanted:
        return "not-wanted";
    case stop_reason::start_unconfirmed:
        return "doubtful";
    case stop_reason::stalled:
        return "stalled";
    case stop_reason::draining:
        return "draining";
    case stop_reason::maintenance:
        return "maintenance";
    }
    return "invalid";
}

} // namespace azurelb
