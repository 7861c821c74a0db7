#pragma once

#include <azurelb/request/fwd.hpp>
#include <azurelb/wire/claim.pb.h>

#include <string>

namespace azurelb {

/** Outcome of claiming an idempotency key. */
enum class claim_state {
    /** This request holds the key and may be sent. */
    claimed,
    /** The same request was sent before; the record holds its response. */
    answered,
    /** The same request is in flight, or its outcome is unknown. */
    in_flight,
    /** The key was claimed by a different request. */
    mismatch,
    /** The store cannot be reached; the request was not sent. */
    unavailable
};

struct claim_result
{
    claim_state state{claim_state::unavailable};
    /** The record found in the store, or the one written. */
    wire::claim record{};
    /** The record's key in the store. */
    std::string key{};
};

} // namespace azurelb
