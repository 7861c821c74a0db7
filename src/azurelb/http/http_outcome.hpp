#pragma once

#include <azurelb/http/http_progress.hpp>
#include <azurelb/http/message.hpp>

namespace azurelb {

/** How an HTTP exchange ended. The response is valid only if it was answered. */
struct http_outcome
{
    http_progress progress{http_progress::not_sent};
    http_response response{};
};

} // namespace azurelb
