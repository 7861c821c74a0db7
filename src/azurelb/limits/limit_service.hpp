#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/limits/fwd.hpp>

#include <cstdint>
#include <functional>

namespace azurelb {

/** Keeps the number of running requests of each team within its limit over the whole fleet. */
class limit_service : public service
{
public:
    using handler = std::function<void(const team_name &)>;

    /** Name under which the kernel finds the service. */
    static constexpr std::string_view serviceName{"limits"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** Acquires one right to run a request of the team. Returns false if none is free here. */
    [[nodiscard]] virtual bool acquire(const team_name &team) = 0;

    /** Releases a right acquired with acquire(). */
    virtual void release(const team_name &team) = 0;

    /**
     * Sets how many requests of the team wait here for a right, so that unused rights of other
     * daemons are moved here. Replaces the previous number.
     */
    virtual void setDemand(const team_name &team, std::uint32_t waiting) = 0;

    /** Adds a handler that is called when acquire() may succeed again for a team with demand. */
    virtual void subscribe(handler available) = 0;
};

} // namespace azurelb
