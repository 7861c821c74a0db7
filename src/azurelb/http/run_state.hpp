#pragma once

#include <azurelb/http/fwd.hpp>

#include <string_view>

namespace azurelb {

/** What an error answer tells of the request's effect. */
enum class run_state {
    /** It certainly did not run; it may be sent again. */
    not_run,
    /** It ran, but its answer cannot be given. */
    ran,
    /** It may have run. */
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
