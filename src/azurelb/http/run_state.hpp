#pragma once

#include <azurelb/http/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Whether a request took effect, as reported by an error response. */
enum class run_state {
    /** The request did not run; it may be sent again. */
    not_run,
    /** The request ran, but its response is not available. */
    ran,
    /** The request may have run. */
    unknown
};

[[nodiscard]] constexpr std::string_view toString(run_state state) noexcept
{
    switch (state) {
    case run_state::not_run:
        return "not-run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace azurelb
