#pragma once

#include <azurelb/share/fwd.hpp>
#include <azurelb/upstream/upstream_vm.hpp>

namespace azurelb {

/** Why a request got no slot. It has not run. */
enum class slot_refusal {
    none,
    /** Its queue at this daemon is full. */
    full,
    /** It cannot be served before its deadline. */
    late,
    /** The daemon cannot prove its view of the fleet recent enough to start work. */
    unconfirmed,
    /** The queue has no upstream that may get work. */
    no_upstream,
    /** The daemon shuts down. */
    stopping
};

/** The right to run one request on one upstream, or the reason why there is none. */
struct slot_grant
{
    slot_refusal refusal{slot_refusal::none};
    /** When to ask again; 0 if that is not known. Valid only with a refusal. */
    std::chrono::milliseconds retryAfter{};
    /** Valid only without a refusal, as is the upstream. */
    lease_id lease{};
    upstream_vm upstream{};
};

} // namespace azurelb
