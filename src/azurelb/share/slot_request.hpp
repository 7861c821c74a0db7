#pragma once

#include <azurelb/core/identifier.hpp>

#include <set>

namespace azurelb {

/** A request that waits for an executor slot. */
struct slot_request
{
    queue_name queue{};
    /** Team of the caller's key; empty on a queue that needs no key. */
    team_name team{};
    /** Time at which the caller stops waiting for the answer. */
    time_point deadline{};
    /** Upstreams on which earlier attempts of the request have failed. */
    std::set<vm_id> avoid{};
};

} // namespace azurelb
