#pragma once

#include <azurelb/platform/fwd.hpp>

#include <string_view>

namespace azurelb {

/** What became of an order to the platform. Orders are idempotent and may be given again. */
enum class control_outcome {
    accepted,
    /** The order was not sent, or the platform refused it: it has no effect. */
    refused,
    /** The platform has no VM of that name. */
    unknown_vm,
    /** No answer came after the order was sent: look at the list of VMs. */
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
