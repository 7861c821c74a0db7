#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/limits/departure_source.hpp>

#include <chrono>
#include <unordered_map>
#include <unordered_set>

namespace azurelb {

namespace wire {
class vm_list;
} // namespace wire

/**
 * Entry VMs that the platform's list has shown and then no longer shows. A list that lacks this
 * daemon's own VM is not believed. A daemon that was restarted on a VM that stays listed is not
 * told from one that runs.
 */
class listed_departures final : public departure_source
{
public:
    /** Absences longer than the lag are believed. */
    listed_departures(vm_id self, std::chrono::milliseconds listLag);

    /** Takes in the list as it is at that time. */
    void update(const wire::vm_list &list, time_point now);

    [[nodiscard]] bool isGone(const member &daemon) const override;

private:
    vm_id m_self;
    std::chrono::milliseconds m_listLag;
    std::unordered_map<vm_id, time_point> m_lastListed{};
    std::unordered_set<vm_id> m_departed{};
};

} // namespace azurelb
