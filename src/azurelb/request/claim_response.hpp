#pragma once

#include <azurelb/http/message.hpp>
#include <azurelb/request/fwd.hpp>

namespace azurelb {

/**
 * The response to a request that did not get its idempotency key: the stored response or an error.
 * Precondition: claim.state is not claimed.
 */
[[nodiscard]] http_response claimResponse(const claim_result &claim);

} // namespace azurelb
