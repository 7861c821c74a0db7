#pragma once

#include <azurelb/store/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Why a store call gave no result, and what is known of its effect. */
enum class store_error {
    none,
    /** The call was not sent, or the store rejected it: it had no effect. */
    refused,
    /** The call was sent but its result is not known: a write may or may not have taken effect. */
    unknown,
    /** The response violates the protocol. */
    malformed
};

[[nodiscard]] constexpr std::string_view toString(store_error error) noexcept
{
    switch (error) {
    case store_error::none:
        return "none";
    case store_error::refused:
        return "refused";
    case store_error::unknown:
        return "unknown";
    case store_error::malformed:
        return "malformed";
    }
    return "invalid";
}

} // namespace azurelb
