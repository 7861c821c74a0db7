#pragma once

#include <azurelb/http/fwd.hpp>

#include <chrono>

namespace azurelb {

/** Timeouts of one HTTP exchange. */
struct http_timeouts
{
    /** For connecting, if a new connection is needed. */
    std::chrono::milliseconds connect{};
    /** For the whole exchange, including connecting. */
    std::chrono::milliseconds total{};
};

} // namespace azurelb
