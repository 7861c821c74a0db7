#pragma once

#include <azurelb/request/fwd.hpp>
#include <azurelb/wire/claim.pb.h>

#include <string>

namespace azurelb {

/** What became of the attempt to claim an idempotency key. */
enum class claim_state {
    /** The key is this request's own; it may be sent. */
    claimed,
    /** The same request has been answered; the record holds the answer. */
    answered,
    /** The same request is in flight, or its end is not known. */
    in_flight,
    /** The key belongs to another request. */
    mismatch,
    /** The store cannot be reached; nothing was sent. */
    unavailable
};

struct claim_result
{
    claim_state state{claim_state::unavailable};
    /** The record found, or the one written. */
    wire::claim record{};
    /** The record's key in the store. */
    std::string key{};
};

} // namespace azurelb
