#pragma once

#include <azurelb/core/fwd.hpp>

#include <string_view>

namespace azurelb {

/** A part of the daemon with one job, known to the kernel by its name. */
class service
{
public:
    service() = default;
    service(const service &) = delete;
    service &operator=(const service &) = delete;
    virtual ~service() = default;

    /** Name under which other services find this one. It is the same for the whole life. */
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /**
     * Begins work. The kernel calls it once all services are registered, in the order of
     * registration, so that a service may look up any other.
     */
    virtual void start(kernel &services) = 0;

    /**
     * Ends work at once. The kernel calls it in the reverse order of the starts. Requests in
     * flight have finished by then.
     */
    virtual void stop() noexcept = 0;
};

} // namespace azurelb
