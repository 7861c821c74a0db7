#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/platform/fwd.hpp>

#include <azurelb/wire/platform.pb.h>

#include <functional>
#include <memory>

namespace azurelb {

/** The platform's list of VMs as last read. It lags behind the actual state of the VMs. */
class vm_list_source : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"vm_list"};

    using list_ptr = std::shared_ptr<const wire::vm_list>;

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** The last list read; null before the first. */
    [[nodiscard]] virtual list_ptr list() const = 0;

    /**
     * Time at which the latest successful poll was sent; list() was current then or became so
     * later.
     */
    [[nodiscard]] virtual time_point requestedAt() const = 0;

    /** Calls the handler on the event loop after each change of list(). */
    virtual void subscribe(std::function<void()> changed) = 0;
};

} // namespace azurelb
