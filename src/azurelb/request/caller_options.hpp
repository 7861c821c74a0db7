#pragma once

#include <azurelb/http/http_limits.hpp>

#include <chrono>
#include <string>

namespace azurelb {

/** Settings of the callers' interface. */
struct caller_options
{
    /** "IP:PORT" to listen on. */
    std::string listen{};
    http_limits limits{};
    /** Time that a request has if its caller names none, and the longest that it may name. */
    std::chrono::milliseconds defaultTimeout{30'000};
    std::chrono::milliseconds maxTimeout{60'000};
};

} // namespace azurelb
