#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Why a run is stopped. */
enum class stop_reason {
    /** The job is completed, failed or cancelled. */
    job_over,
    /** The task is done or assigned elsewhere, or the run is unknown to the owner. */
    not_wanted,
    /** The answer to its start order was lost, and the executor does not report the run. */
    start_unconfirmed,
    /** It makes no progress. */
    stalled,
    /** Its executor is draining. */
    draining,
    /** Maintenance of its VM is imminent. */
    maintenance,
    /** Another member of its gang was not started. */
    gang_incomplete
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
    case stop_reason::gang_incomplete:
        return "gang-incomplete";
    }
    return "invalid";
}

} // namespace azurelb
