#pragma once

#include <azurelb/membership/member.hpp>
#include <azurelb/share/dispatcher.hpp>
#include <azurelb/share/dispatcher_client.hpp>
#include <azurelb/share/share_metrics.hpp>

#include <memory>
#include <optional>

namespace azurelb {

/** What one daemon knows of one pool. */
struct pool_state
{
    pool_state(const share_options &options, rights_broker &rights, std::uint64_t firstLease,
               metrics &registry, const pool_name &pool)
        : name{pool}
        , client{options, rights, firstLease}
        , poolMetrics{registry, pool}
    { }

    pool_name name;
    /** A queue of the pool. */
    queue_name queue{};
    dispatcher_client client;
    /** The daemon that dispatches the pool. */
    std::optional<member> owner{};
    /** Null unless that is this daemon. */
    std::unique_ptr<dispatcher> ownDispatcher{};
    share_metrics poolMetrics;
    std::size_t openCircuits{0};
};

} // namespace azurelb
