#include <azurelb/fleet/budget_violation.hpp>

#include <azurelb/fleet/availability.hpp>
#include <azurelb/fleet/vm_index.hpp>
#include <azurelb/wire/config.pb.h>

namespace azurelb {

std::string toString(const budget_violation &violation)
{
    return "pool " + violation.pool.value() + ": " + std::to_string(violation.unavailable)
        + " VMs unavailable of " + std::to_string(violation.maxUnavailable) + " allowed, "
        + std::to_string(violation.available) + " available of at least "
        + std::to_string(violation.minAvailable);
}

std::vector<budget_violation> findZoneOutViolations(const wire::config_document &config,
                                                    const wire::fleet_document &fleet,
                                                    const wire::vm_list &list,
                                                    const zone_name &zone)
{
    const vm_index index{list};
    const availability before{config, fleet, index};
    const availability after{config, fleet, index, zone.value()};
    std::vector<budget_violation> violations;
    for (const wire::pool &pool : config.pools()) {
        const pool_availability &count = after.find(pool.name());
        const bool isAffected = before.find(pool.name()).available != count.available;
        const bool holds =
            count.unavailable() <= pool.unavailable_vms() && count.available >= pool.minimum_vms();
        if (isAffected && !holds) {
            violations.push_back({pool_name{pool.name()}, count.unavailable(),
                                  pool.unavailable_vms(), count.available, pool.minimum_vms()});
        }
    }
    return violations;
}

} // namespace azurelb
