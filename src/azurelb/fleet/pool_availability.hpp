#pragma once

#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace azurelb {

/** Counts of the VMs of one pool in one zone. */
struct zone_availability
{
    std::uint32_t members{};
    std::uint32_t available{};
    /** Members that a plan has taken out of service: draining, rebooting or probing. */
    std::uint32_t plannedOut{};
};

/** Counts of the VMs of one pool. Unavailable members count against the pool's budget. */
struct pool_availability
{
    [[nodiscard]] std::uint32_t unavailable() const noexcept { return members - available; }

    /** Null if the pool is not configured. */
    const wire::pool *pool{nullptr};
    std::uint32_t members{};
    std::uint32_t available{};
    std::uint32_t plannedOut{};
    /** Present members in zones in service that will serve once their probes pass; excludes members
        in a wave. */
    std::uint32_t probing{};
    std::unordered_map<std::string, zone_availability> zones{};
};

} // namespace azurelb
