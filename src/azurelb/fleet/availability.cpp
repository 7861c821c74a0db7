#include <azurelb/fleet/availability.hpp>

#include <azurelb/fleet/vm_index.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/fleet.pb.h>

#include <algorithm>

namespace azurelb {

availability::availability(const wire::config_document &config, const wire::fleet_document &fleet,
                           const vm_index &list, const std::string &zoneOut)
    : m_list{list}
{
    for (const wire::availability_zone &zone : config.zones()) {
        if (zone.out())
            m_zonesOut.insert(zone.name());
    }
    if (!zoneOut.empty())
        m_zonesOut.insert(zoneOut);
    for (const wire::pool &pool : config.pools())
        m_pools[pool.name()].pool = &pool;
    for (const wire::fleet_vm &vm : fleet.vms())
        add(vm);
}

bool isPlannedOut(const wire::fleet_vm &vm) noexcept
{
    return vm.state() == wire::VM_STATE_DRAINING || vm.state() == wire::VM_STATE_REBOOTING
        || (vm.state() == wire::VM_STATE_PROBING && !vm.wave().empty());
}

void availability::add(const wire::fleet_vm &vm)
{
    pool_availability &pool = m_pools[vm.pool()];
    zone_availability &zone = pool.zones[vm.zone()];
    const std::uint32_t available = isAvailable(vm) ? 1 : 0;
    const std::uint32_t plannedOut = isPlannedOut(vm) ? 1 : 0;
    ++pool.members;
    ++zone.members;
    pool.available += available;
    zone.available += available;
    pool.plannedOut += plannedOut;
    zone.plannedOut += plannedOut;
    const bool isProbing = vm.state() == wire::VM_STATE_PROBING && plannedOut == 0;
    if (isProbing && !vm.absent() && !isZoneOut(vm.zone()))
        ++pool.probing;
}

bool availability::isAvailable(const wire::fleet_vm &vm) const
{
    if (vm.state() != wire::VM_STATE_SERVING || vm.absent() || isZoneOut(vm.zone()))
        return false;
    const listed_state seen = m_list.listedState(vm);
    return seen == listed_state::live || seen == listed_state::outdated;
}

const pool_availability &availability::find(const std::string &pool) const
{
    static const pool_availability none{};
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second;
}

bool availability::canTakeOut(const wire::fleet_vm &vm) const
{
    const pool_availability &count = find(vm.pool());
    if (!count.pool)
        return true;
    const std::uint32_t budget = count.pool->unavailable_vms();
    if (!isAvailable(vm))
        return count.unavailable() <= budget && count.plannedOut < budget;
    const zone_availability &zone = count.zones.at(vm.zone());
    const std::uint32_t zoneBudget = std::max(zone.members, 2U) - 1;
    return count.unavailable() < budget && count.available > count.pool->minimum_vms()
        && zone.plannedOut < zoneBudget;
}

} // namespace azurelb
