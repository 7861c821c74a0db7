#pragma once

#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace azurelb {

/** VMs of one pool in one zone. */
struct zone_availability
{
    std::uint32_t members{};
    std::uint32_t available{};
    /** Members that a plan has taken out: draining, rebooting or probing. */
    std::uint32_t plannedOut{};
};

/** VMs of one pool. Members that are not available count against the pool's budget. */
struct pool_availability
{
    [[nodiscard]] std::uint32_t unavailable() const noexcept { return members - available; }

    /** Null if the pool is not configured. */
    const wire::pool *pool{nullptr};
    std::uint32_t members{};
    std::uint32_t available{};
    std::uint32_t plannedOut{};
    /** Members that are live and serve once they are probed, without those in a wave. */
    std::uint32_t probing{};
    std::unordered_map<std::string, zone_availability> zones{};
};

} // namespace azurelb
