#pragma once

#include <azurelb/scheduling/fwd.hpp>

#include <string_view>

namespace azurelb {

/** How a run ended. */
enum class run_end {
    done,
    /** Failed because of the task or the executor. */
    failed,
    stopped,
    lease_expired,
    /** Another member of the gang ended. */
    gang_broken,
    /** The other members of the gang did not start in time. */
    gang_incomplete
};

[[nodiscard]] constexpr std::string_view toString(run_end end) noexcept
{
    switch (end) {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lease_expired:
        return "lease-expired";
    case run_end::gang_broken:
        return "gang-broken";
    case run_end::gang_incomplete:
        return "gang-incomplete";
    }
    return "invalid";
}

} // namespace azurelb
