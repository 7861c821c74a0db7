#pragma once

#include <azurelb/core/identifier.hpp>

#include <set>

namespace azurelb {

/** A request that waits for an executor slot. */
struct slot_request
{
    queue_name queue{};
    /** The team whose key came with it; empty on a queue open to all. */
    team_name team{};
    /** When the caller gives up. */
    time_point deadline{};
    /** Upstreams that an earlier attempt of the same request has failed on. */
    std::set<vm_id> avoid{};
};

} // namespace azurelb
