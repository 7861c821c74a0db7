#pragma once

#include <azurelb/upstream/fwd.hpp>

namespace azurelb {

/** What a request requires of the connection it is sent on. */
enum class connection_requirement {
    /** Any reusable connection. */
    any,
    /**
     * A new connection, or one that has received a response within
     * connection_options::maxVerifiedAge.
     */
    recently_verified
};

} // namespace azurelb
