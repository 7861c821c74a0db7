#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/http/message.hpp>

#include <string>

namespace azurelb {

/** A caller's request that has passed all checks. */
struct caller_request
{
    queue_name queue{};
    /** Empty if no valid key came with a request to an open queue. */
    team_name team{};
    /** Digest of the key that authenticated the request; empty if team is empty. */
    std::string keyDigest{};
    time_point deadline{};
    /** True if running the request twice has the same effect as running it once. */
    bool idempotent{false};
    /** Value of the Idempotency-Key header; empty if there is none. */
    std::string idempotencyKey{};
    /** The message for the upstream: the caller's, without its API key and hop-by-hop fields. */
    http_request message{};
};

} // namespace azurelb
