#pragma once

#include <azurelb/upstream/fwd.hpp>

namespace azurelb {

/** What a request asks of the connection that it is sent on. */
enum class connection_requirement {
    /** Any reusable connection. */
    any,
    /** One that has answered just before, or a new one. */
    recently_verified
};

} // namespace azurelb
