#pragma once

#include <azurelb/fleet/fwd.hpp>
#include <azurelb/fleet/queue_demand.hpp>
#include <azurelb/fleet/vm_observation.hpp>

#include <vector>

namespace azurelb {

/** Where the planner gets what the daemons know of the VMs and of the demand. */
class vm_reporter
{
public:
    vm_reporter() = default;
    vm_reporter(const vm_reporter &) = delete;
    vm_reporter &operator=(const vm_reporter &) = delete;
    virtual ~vm_reporter() = default;

    /** Has the VMs that are being probed observed; call at every step. */
    virtual void refresh(const wire::fleet_document &fleet, const wire::vm_list &list) = 0;

    /** Newest observation of each VM; VMs of which nothing is known are missing. */
    [[nodiscard]] virtual std::vector<vm_observation> observe() const = 0;

    /** Newest demand of each queue; queues of which nothing is known are missing. */
    [[nodiscard]] virtual std::vector<queue_demand> demand() const = 0;
};

} // namespace azurelb
