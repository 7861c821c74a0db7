#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/request/fwd.hpp>

namespace azurelb {

/** The answer to a request whose idempotency key is not its own to run: kept answer or problem. */
[[nodiscard]] http_response claimResponse(const claim_result &claim);

} // namespace azurelb
