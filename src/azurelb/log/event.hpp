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
    document_applied = 200,
    change_committed = 201,
    change_refused = 202,
    change_unknown = 203,
    documents_confirmed = 204,
    documents_unconfirmed = 205,
    store_reachable = 206,
    store_unreachable = 207,
    store_data_old = 208,
    document_malformed = 209,
    audit_trimmed = 210,
    member_joined = 320,
    member_lost = 321,
    member_left = 322,
    peer_silent = 323,
};

} // namespace azurelb
