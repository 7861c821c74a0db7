#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Why a call to the store failed. */
enum class keyspace_error {
    none,
    /** The store rejected the call; it had no effect. */
    refused,
    /** No answer arrived; the call may have taken effect or may still do so. */
    unknown,
    /** The requested key, lease or history does not exist. */
    missing,
    /** A condition did not hold; nothing was written. */
    conflict,
    /** The answer violates the protocol. */
    malformed
};

[[nodiscard]] constexpr std::string_view toString(keyspace_error error) noexcept
{
    switch (error) {
    case keyspace_error::none:
        return "none";
    case keyspace_error::refused:
        return "refused";
    case keyspace_error::unknown:
        return "unknown";
    case keyspace_error::missing:
        return "missing";
    case keyspace_error::conflict:
        return "conflict";
    case keyspace_error::malformed:
        return "malformed";
    }
    return "invalid";
}

} // namespace azurelb
