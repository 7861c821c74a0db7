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

/** Writes the state that this daemon's next heartbeat carries. */
using replica_state_writer = std::function<void(wire::replica_state &)>;

/**
 * Takes the state that a heartbeat carried, with the local time at which the heartbeat that it
 * answers was sent: the state was written no earlier than that.
 */
using replica_state_handler =
    std::function<void(const member &, time_point echoedSentAt, const wire::replica_state &)>;

/** Asks for a new connection to a peer that has been silent. */
using redial_handler = std::function<void(const vm_id &)>;

} // namespace azurelb
