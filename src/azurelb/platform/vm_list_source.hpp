#pragma once

#include <azurelb/core/service.hpp>

#include <functional>
#include <memory>

namespace azurelb {

namespace wire {
class vm_list;
} // namespace wire

/** The platform's list of VMs. It lags behind. */
class vm_list_source : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"vm_list"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** The newest list known; never null, empty at first. */
    [[nodiscard]] virtual std::shared_ptr<const wire::vm_list> list() const = 0;

    /** Calls the handler after each change of the list. */
    virtual void subscribe(std::function<void()> changed) = 0;
};

} // namespace azurelb
