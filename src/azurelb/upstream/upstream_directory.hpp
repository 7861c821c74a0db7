#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/upstream/upstream_vm.hpp>

#include <functional>
#include <vector>

namespace azurelb {

/** Which upstreams may get new work of each queue: pool, zones out, drains, leaving VMs. */
class upstream_directory : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"upstreams"};

    [[nodiscard]] std::string_view name() const noexcept final { return serviceName; }

    /** Upstreams that may get new work of the queue now, sorted by VM. */
    [[nodiscard]] virtual std::vector<upstream_vm> eligible(const queue_name &queue) const = 0;

    /** Calls the handler after each change of what eligible() returns. */
    virtual void subscribe(std::function<void()> changed) = 0;
};

} // namespace azurelb
