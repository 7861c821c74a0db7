#pragma once

#include <azurelb/fleet/fwd.hpp>
#include <azurelb/fleet/queue_demand.hpp>
#include <azurelb/fleet/vm_observation.hpp>

#include <vector>

namespace azurelb {

/** Source of the planner's observations of the VMs and of the demand. */
class vm_reporter
{
public:
    vm_reporter() = default;
    vm_reporter(const vm_reporter &) = delete;
    vm_reporter &operator=(const vm_reporter &) = delete;
    virtual ~vm_reporter() = default;

    /** Updates the set of VMs to probe and starts probes. Call at every step. */
    virtual void refresh(const wire::fleet_document &fleet, const wire::vm_list &list) = 0;

    /** Returns the latest observation of each VM, without VMs that have none. */
    [[nodiscard]] virtual std::vector<vm_observation> observe() const = 0;

    /** Returns the latest demand of each queue, without queues that have none. */
    [[nodiscard]] virtual std::vector<queue_demand> demand() const = 0;
};

} // namespace azurelb
