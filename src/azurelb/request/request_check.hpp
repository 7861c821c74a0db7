#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/request/caller_options.hpp>
#include <azurelb/request/checked_request.hpp>

namespace azurelb {

/**
 * Checks the queue, key, timeout and idempotency key of a message to /v1/queues/{queue}[/path],
 * without I/O. The message for the upstream has the target /path, or / if there is none. The
 * deadline of the request counts from now.
 */
[[nodiscard]] checked_request checkRequest(const http_request &message, const config_view &config,
                                           const caller_options &options, time_point now);

} // namespace azurelb
