#include <azurelb/config/config_view.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/upstream/eligible_upstreams.hpp>
#include <azurelb/wire/platform.pb.h>

#include <algorithm>

namespace azurelb {

namespace {

bool isEligible(const wire::listed_vm &vm, const std::string &pool, const config_view &config,
                const fleet_view &fleet)
{
    const wire::fleet_vm *placed = fleet.find(vm_id{vm.id()});
    return placed && placed->pool() == pool && placed->state() == wire::VM_STATE_SERVING
        && vm.phase() == wire::VM_PHASE_LIVE && !vm.entry()
        && !config.isZoneOut(zone_name{vm.zone()});
}

upstream_vm toUpstream(const wire::listed_vm &vm)
{
    return {vm_id{vm.id()}, vm.address(), zone_name{vm.zone()}, rack_name{vm.rack()}, vm.slots()};
}

} // namespace

std::vector<upstream_vm> eligibleUpstreams(const queue_name &queue, const config_view &config,
                                           const fleet_view &fleet, const wire::vm_list &list)
{
    std::vector<upstream_vm> found;
    const wire::queue *wanted = config.findQueue(queue);
    if (!wanted)
        return found;
    for (const wire::listed_vm &vm : list.vms()) {
        if (isEligible(vm, wanted->pool(), config, fleet))
            found.push_back(toUpstream(vm));
    }
    std::sort(found.begin(), found.end(),
              [](const upstream_vm &left, const upstream_vm &right) { return left.vm < right.vm; });
    return found;
}

} // namespace azurelb
