#pragma once

#include <azurelb/log/fwd.hpp>

#include <string_view>

namespace azurelb {

/** An error needs an operator's attention, a warning may need it, the others do not. */
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
