#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <string_view>

namespace azurelb {

/** Why a call of the store gave no result. */
enum class keyspace_error {
    none,
    /** The store did not take the call: it had no effect. */
    refused,
    /** No answer came: the effect is unknown, and may still come. */
    unknown,
    /** The key, the lease or the history asked for does not exist. */
    missing,
    /** A condition did not hold: nothing was written. */
    conflict,
    /** The answer is not what the protocol allows. */
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
