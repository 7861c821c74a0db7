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
    store_reads_resumed = 206,
    store_reads_failing = 207,
    store_data_old = 208,
    document_malformed = 209,
    audit_trimmed = 210,
    peer_dialled = 300,
    peer_redialled = 301,
    peer_address_refused = 302,
    member_joined = 320,
    member_lost = 321,
    member_left = 322,
    peer_silent = 323,
    limit_in_force = 400,
    limit_pending = 401,
    rights_closed = 402,
    rights_reclaimed = 403,
    rights_store_failed = 404,
    rights_store_restored = 405,
    reclaim_blocked = 406,
    dispatcher_changed = 500,
    circuit_opened = 501,
    circuit_closed = 502,
    planner_changed = 700,
    fleet_changed = 701,
    fleet_not_written = 702,
    reboot_ordered = 703,
    reboot_not_ordered = 704,
    store_unreachable = 800,
    store_reachable = 801,
    vm_list_unreachable = 820,
    vm_list_reachable = 821,
    vm_list_malformed = 822,
};

} // namespace azurelb
