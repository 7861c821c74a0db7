#pragma once

#include <azurelb/http/http_progress.hpp>
#include <azurelb/http/message.hpp>

namespace azurelb {

/** Outcome of an HTTP exchange. The response is valid only if progress is answered. */
struct http_outcome
{
    http_progress progress{http_progress::not_sent};
    http_response response{};
};

} // namespace azurelb
