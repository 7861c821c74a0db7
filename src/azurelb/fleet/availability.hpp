#pragma once

#include <azurelb/fleet/fwd.hpp>
#include <azurelb/fleet/pool_availability.hpp>

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace azurelb {

/**
 * Availability of every pool by the configuration, the fleet document and the platform's list. A VM
 * is available if it serves, is listed as live, stays in its pool and its zone is in service.
 *
 * Budget of a pool: at most unavailable_vms of its members are unavailable and at least minimum_vms
 * are available. Budget of a pool in a zone: plans take out all members there but one, or one if
 * there is only one.
 */
class availability
{
public:
    /** The zone named is counted as out besides those of the configuration. */
    availability(const wire::config_document &config, const wire::fleet_document &fleet,
                 const vm_index &list, const std::string &zoneOut = {});

    [[nodiscard]] bool isAvailable(const wire::fleet_vm &vm) const;

    [[nodiscard]] bool isZoneOut(const std::string &zone) const
    {
        return m_zonesOut.contains(zone);
    }

    /** Counts of the pool; all zero if it has no members and is not configured. */
    [[nodiscard]] const pool_availability &find(const std::string &pool) const;

    /** True if the budgets hold when the plan takes this VM out of service. */
    [[nodiscard]] bool canTakeOut(const wire::fleet_vm &vm) const;

private:
    void add(const wire::fleet_vm &vm);

    const vm_index &m_list;
    std::unordered_set<std::string> m_zonesOut{};
    std::unordered_map<std::string, pool_availability> m_pools{};
};

/** True if a plan has taken the VM out and gives it back later. */
[[nodiscard]] bool isPlannedOut(const wire::fleet_vm &vm) noexcept;

} // namespace azurelb
