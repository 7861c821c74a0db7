#pragma once

#include <azurelb/platform/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Outcome of a request to the platform. Requests are idempotent and may be repeated. */
enum class control_outcome {
    accepted,
    /** The request was not sent, or the platform rejected it: it has no effect. */
    refused,
    /** The platform has no VM of that name. */
    unknown_vm,
    /** The request was sent but its result is not known; the list of VMs shows its effect. */
    unknown
};

[[nodiscard]] constexpr std::string_view toString(control_outcome outcome) noexcept
{
    switch (outcome) {
    case control_outcome::accepted:
        return "accepted";
    case control_outcome::refused:
        return "refused";
    case control_outcome::unknown_vm:
        return "unknown_vm";
    case control_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace azurelb
