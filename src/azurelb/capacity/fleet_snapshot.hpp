#pragma once

#include <azurelb/capacity/vm_view.hpp>
#include <azurelb/core/boot_clock.hpp>

#include <vector>

namespace azurelb {

/** The VMs of the fleet as one reading of the platform's list shows them. */
struct fleet_snapshot
{
    std::vector<vm_view> vms{};
    /** The list shows the state of the fleet at this time or later. */
    boot_time shownAt{};

    /** Returns whether all VMs that were in the fleet at the time, and have not left it, are in
        this snapshot. Without that, a missing VM may have been added after the reading. */
    [[nodiscard]] bool shows(boot_time time) const noexcept { return shownAt >= time; }
};

} // namespace azurelb
