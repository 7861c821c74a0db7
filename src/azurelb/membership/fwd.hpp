#pragma once

#include <azurelb/core/fwd.hpp>

#include <functional>

namespace azurelb {

namespace wire {
class heartbeat;
class replica_state;
} // namespace wire

struct member;
struct heartbeat_options;
class membership;
class failure_detector;
class heartbeat_membership;

/** Fills in the replica state that a heartbeat of this daemon carries. */
using replica_state_writer = std::function<void(wire::replica_state &)>;

/**
 * Receives the replica state of a member's heartbeat. echoedSentAt is the local time at which the
 * heartbeat that it echoes was sent; the state was written no earlier.
 */
using replica_state_handler =
    std::function<void(const member &, time_point echoedSentAt, const wire::replica_state &)>;

/** Reconnects to an unresponsive peer. */
using redial_handler = std::function<void(const vm_id &)>;

} // namespace azurelb
