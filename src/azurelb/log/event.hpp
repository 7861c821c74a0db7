#pragma once

#include <azurelb/log/fwd.hpp>

namespace azurelb {

/**
 * Numbers of the log events. A number never changes its meaning; docs/EVENTS.md is the catalogue.
 * 100 daemon, 200 configuration, 300 membership and peers, 400 limits, 500 shares, 600 requests,
 * 700 fleet, 800 store and platform, 900 jobs.
 */
enum class event : int {
    daemon_started = 100,
    daemon_ready = 101,
    shutdown_began = 102,
    shutdown_ended = 103,
    daemon_failed = 104,
    dispatcher_changed = 500,
    circuit_opened = 501,
    circuit_closed = 502,
};

} // namespace azurelb
