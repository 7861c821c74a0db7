#pragma once

#include <azurelb/http/fwd.hpp>

#include <chrono>

namespace azurelb {

/** Upper limits of one HTTP exchange. */
struct http_timeouts
{
    /** For the connection, if a new one is needed. */
    std::chrono::milliseconds connect{};
    /** For the whole exchange with its connection. */
    std::chrono::milliseconds total{};
};

} // namespace azurelb
