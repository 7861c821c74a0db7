#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/platform/control_outcome.hpp>

namespace azurelb {

/** Requests to the platform about one VM. Handlers run on the event loop, never inside the call. */
class vm_controls : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"vm_controls"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** Stops the VM from taking new work; the list then shows it as leaving. */
    virtual void drain(const vm_id &vm, control_handler done) = 0;

    /** Reboots the VM at once; afterwards the list shows it live under a new boot id. */
    virtual void reboot(const vm_id &vm, control_handler done) = 0;
};

} // namespace azurelb
