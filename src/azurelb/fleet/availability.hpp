#pragma once

#include <azurelb/fleet/fwd.hpp>
#include <azurelb/fleet/pool_availability.hpp>

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace azurelb {

/**
 * Availability of every pool according to the configuration, the fleet document and the platform's
 * list of VMs. A VM is available if it is in the serving state, is not absent, is listed as live or
 * by an outdated entry, and its zone is in service.
 *
 * Budget of a pool: at most unavailable_vms of its members are unavailable and at least minimum_vms
 * are available. Budget of a pool in a zone: a plan may take out all its members there but one, or
 * the only one.
 */
class availability
{
public:
    /** Treats zoneOut, unless it is empty, as out of service besides those of the configuration.
        The list and the configuration must outlive this object. */
    availability(const wire::config_document &config, const wire::fleet_document &fleet,
                 const vm_index &list, const std::string &zoneOut = {});

    [[nodiscard]] bool isAvailable(const wire::fleet_vm &vm) const;

    [[nodiscard]] bool isZoneOut(const std::string &zone) const
    {
        return m_zonesOut.contains(zone);
    }

    /** Returns the counts of the pool; all zero if it has no members and is not configured. */
    [[nodiscard]] const pool_availability &find(const std::string &pool) const;

    /** Returns whether the budgets still hold once a plan takes this VM out of service. */
    [[nodiscard]] bool canTakeOut(const wire::fleet_vm &vm) const;

private:
    void add(const wire::fleet_vm &vm);

    const vm_index &m_list;
    std::unordered_set<std::string> m_zonesOut{};
    std::unordered_map<std::string, pool_availability> m_pools{};
};

/** Returns whether a plan has taken the VM out of service temporarily. */
[[nodiscard]] bool isPlannedOut(const wire::fleet_vm &vm) noexcept;

} // namespace azurelb
