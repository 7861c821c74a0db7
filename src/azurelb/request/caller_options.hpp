#pragma once

#include <azurelb/http/http_limits.hpp>

#include <chrono>
#include <string>

namespace azurelb {

/** Settings of caller_api. */
struct caller_options
{
    /** "IP:PORT" to listen on. */
    std::string listen{};
    http_limits limits{};
    /** Timeout of a request that names none, and the maximum that a request may name. */
    std::chrono::milliseconds defaultTimeout{30'000};
    std::chrono::milliseconds maxTimeout{60'000};
};

} // namespace azurelb
