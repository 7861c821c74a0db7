#pragma once

#include <azurelb/membership/member.hpp>
#include <azurelb/share/dispatcher.hpp>
#include <azurelb/share/dispatcher_client.hpp>
#include <azurelb/share/share_metrics.hpp>

#include <memory>
#include <optional>

namespace azurelb {

/** State of one pool on one daemon. */
struct pool_state
{
    pool_state(const share_options &options, rights_broker &rights, std::uint64_t firstLease,
               metrics &registry, const pool_name &pool)
        : name{pool}
        , client{options, rights, firstLease}
        , poolMetrics{registry, pool}
    { }

    pool_name name;
    /** One queue of the pool, used to look up its upstreams. */
    queue_name queue{};
    dispatcher_client client;
    /** The daemon that runs the pool's dispatcher. */
    std::optional<member> owner{};
    /** The dispatcher, if this daemon runs it; otherwise null. */
    std::unique_ptr<dispatcher> ownDispatcher{};
    share_metrics poolMetrics;
    std::size_t openCircuits{0};
};

} // namespace azurelb
