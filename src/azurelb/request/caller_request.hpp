#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/http/message.hpp>

#include <string>

namespace azurelb {

/** A caller's request after its checks. */
struct caller_request
{
    queue_name queue{};
    /** Empty on a queue open to all. */
    team_name team{};
    /** Digest of the key that came with it; empty on a queue open to all. */
    std::string keyDigest{};
    time_point deadline{};
    /** Running it twice has the effect of running it once. */
    bool idempotent{false};
    /** Value of Idempotency-Key; empty if there is none. */
    std::string idempotencyKey{};
    /** The message for the upstream: the caller's, without its key and hop-by-hop fields. */
    http_request message{};
};

} // namespace azurelb
