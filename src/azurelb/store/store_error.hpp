#pragma once

#include <azurelb/store/fwd.hpp>

#include <string_view>

namespace azurelb {

/** What a store call that gave no result tells of its effect. */
enum class store_error {
    none,
    /** The call was not sent, or the store refused it: it had no effect. */
    refused,
    /** No answer came after the call was sent: a write may or may not have taken effect. */
    unknown,
    /** The store answered with something that the protocol does not allow. */
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
