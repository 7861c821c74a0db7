#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/membership/fwd.hpp>

#include <functional>
#include <vector>

namespace azurelb {

/** Service that tracks which daemons are alive, as seen from this one. */
class membership : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"membership"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** Daemons with a recent heartbeat that are not shutting down, and this one, sorted. */
    [[nodiscard]] virtual std::vector<member> freshMembers() const = 0;

    /** Calls the handler after each change of freshMembers(). */
    virtual void subscribe(std::function<void()> changed) = 0;
};

} // namespace azurelb
