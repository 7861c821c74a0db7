#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/request/caller_options.hpp>
#include <azurelb/request/checked_request.hpp>

namespace azurelb {

/**
 * Checks queue, key, timeout and idempotency key of a message to /v1/queues/{queue}[/rest], all in
 * memory. The request's message goes to the upstream under /rest, or / if there is none.
 */
[[nodiscard]] checked_request checkRequest(const http_request &message, const config_view &config,
                                           const caller_options &options, time_point now);

} // namespace azurelb
