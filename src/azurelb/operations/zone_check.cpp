#include <azurelb/config/config_view.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/fleet/budget_violation.hpp>
#include <azurelb/operations/zone_check.hpp>
#include <azurelb/wire/platform.pb.h>

#include <algorithm>

namespace azurelb {

namespace {

template <typename List>
bool hasVmInZone(const List &vms, const std::string &zone)
{
    return std::any_of(vms.begin(), vms.end(),
                       [&zone](const auto &each) { return each.zone() == zone; });
}

bool isKnownZone(const std::string &zone, const config_view &config, const fleet_view &fleet,
                 const wire::vm_list &list)
{
    const auto &changed = config.document().zones();
    const bool wasChanged = std::any_of(changed.begin(), changed.end(),
                                        [&zone](const auto &each) { return each.name() == zone; });
    return wasChanged || hasVmInZone(fleet.document().vms(), zone) || hasVmInZone(list.vms(), zone);
}

zone_check checkBudgets(const wire::change &change, const config_view &config,
                        const fleet_view &fleet, const wire::vm_list &list)
{
    zone_check result;
    const zone_name zone{change.zone_out()};
    for (const budget_violation &each :
         findZoneOutViolations(config.document(), fleet.document(), list, zone))
    {
        result.costs.push_back(toString(each));
        result.detail += (result.detail.empty() ? "" : "; ") + result.costs.back();
    }
    const bool isRefused = !result.costs.empty() && !change.force();
    result.error = isRefused ? change_error::budget : change_error::none;
    return result;
}

} // namespace

zone_check checkZoneChange(const wire::change &change, const config_view &config,
                           const fleet_view &fleet, const wire::vm_list *list)
{
    if (!change.has_zone_out() || config.isZoneOut(zone_name{change.zone_out()}))
        return {};
    const wire::vm_list known = list ? *list : wire::vm_list{};
    if (!isKnownZone(change.zone_out(), config, fleet, known))
        return {change_error::invalid, "zone is \"" + change.zone_out() + "\"; no VM is in it", {}};
    return checkBudgets(change, config, fleet, known);
}

} // namespace azurelb
