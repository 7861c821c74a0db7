#pragma once

#include <azurelb/core/fwd.hpp>

#include <string_view>

namespace azurelb {

/** A component of the daemon, registered in the kernel under a unique name. */
class service
{
public:
    service() = default;
    service(const service &) = delete;
    service &operator=(const service &) = delete;
    virtual ~service() = default;

    /** Name under which other services find this one. It never changes. */
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /**
     * Starts the service. The kernel calls it once all services are registered, in the order of
     * registration, so that a service can look up any other.
     */
    virtual void start(kernel &services) = 0;

    /**
     * Stops the service immediately. The kernel calls it in the reverse order of the starts, after
     * requests in flight have finished.
     */
    virtual void stop() noexcept = 0;
};

} // namespace azurelb
