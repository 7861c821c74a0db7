#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/limits/fwd.hpp>

#include <cstdint>
#include <functional>

namespace azurelb {

/** Keeps each team's running requests within its upper limit over the fleet. */
class limit_service : public service
{
public:
    using handler = std::function<void(const team_name &)>;

    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"limits"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** Takes one right to run a request of the team. False if this daemon has none to spare. */
    [[nodiscard]] virtual bool acquire(const team_name &team) = 0;

    /** Gives back a right that acquire() took. */
    virtual void release(const team_name &team) = 0;

    /**
     * States how many requests of the team wait here without a right, so that unused rights of
     * other daemons move here. It replaces the number stated before.
     */
    virtual void setDemand(const team_name &team, std::uint32_t waiting) = 0;

    /** Calls the handler when acquire() may succeed again for a team. */
    virtual void subscribe(handler available) = 0;
};

} // namespace azurelb
