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
 * Detects entry VMs that have disappeared from the platform's list. A list that lacks this daemon's
 * own VM is ignored. The restart of a daemon on a VM that stays listed is not detected.
 */
class listed_departures final : public departure_source
{
public:
    /** A VM counts as departed once it has been missing from the list for longer than listLag. */
    listed_departures(vm_id self, std::chrono::milliseconds listLag);

    /** Applies the list as read at the time now. */
    void update(const wire::vm_list &list, time_point now);

    [[nodiscard]] bool isGone(const member &daemon) const override;

private:
    vm_id m_self;
    std::chrono::milliseconds m_listLag;
    std::unordered_map<vm_id, time_point> m_lastListed{};
    std::unordered_set<vm_id> m_departed{};
};

} // namespace azurelb
