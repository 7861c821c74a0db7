#pragma once

#include <azurelb/share/fwd.hpp>
#include <azurelb/upstream/upstream_vm.hpp>

namespace azurelb {

/** Reason why a request got no slot. The request has not run. */
enum class slot_refusal {
    none,
    /** Its team has too many waiting requests at this daemon. */
    full,
    /** It cannot be served before its deadline. */
    late,
    /** The daemon's documents are not confirmed to be recent enough to start work. */
    unconfirmed,
    /** The queue is unknown or has no upstream that may get work. */
    no_upstream,
    /** The daemon is shutting down. */
    stopping
};

/** Permission to run one request on one upstream, or the reason for the refusal. */
struct slot_grant
{
    slot_refusal refusal{slot_refusal::none};
    /** Time after which to retry; 0 if unknown. Valid only with a refusal. */
    std::chrono::milliseconds retryAfter{};
    /** The lease and the upstream are valid only without a refusal. */
    lease_id lease{};
    upstream_vm upstream{};
};

} // namespace azurelb
