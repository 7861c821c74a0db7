#pragma once

#include <azurelb/log/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Weight of an event: an error needs a person, a warning may, the others do not. */
enum class severity : int { debug, info, warning, error };

[[nodiscard]] constexpr std::string_view toString(severity level) noexcept
{
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "invalid";
}

} // namespace azurelb
