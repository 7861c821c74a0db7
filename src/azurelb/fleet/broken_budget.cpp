#include <azurelb/fleet/broken_budget.hpp>

#include <azurelb/fleet/availability.hpp>
#include <azurelb/fleet/vm_index.hpp>
#include <azurelb/wire/config.pb.h>

namespace azurelb {

std::string toString(const broken_budget &broken)
{
    return "pool " + broken.pool.value() + ": " + std::to_string(broken.unavailable)
        + " VMs unavailable of " + std::to_string(broken.unavailableBudget) + " allowed, "
        + std::to_string(broken.available) + " available of at least "
        + std::to_string(broken.minimum);
}

std::vector<broken_budget> checkZoneOut(const wire::config_document &config,
                                        const wire::fleet_document &fleet,
                                        const wire::vm_list &list, const zone_name &zone)
{
    const vm_index index{list};
    const availability before{config, fleet, index};
    const availability after{config, fleet, index, zone.value()};
    std::vector<broken_budget> broken;
    for (const wire::pool &pool : config.pools()) {
        const pool_count &count = after.find(pool.name());
        const bool isAffected = before.find(pool.name()).available != count.available;
        const bool holds =
            count.unavailable() <= pool.unavailable_vms() && count.available >= pool.minimum_vms();
        if (isAffected && !holds) {
            broken.push_back({pool_name{pool.name()}, count.unavailable(), pool.unavailable_vms(),
                              count.available, pool.minimum_vms()});
        }
    }
    return broken;
}

} // namespace azurelb
