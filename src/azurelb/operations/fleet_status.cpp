#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/membership/member.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/operations/fleet_status.hpp>
#include <azurelb/upstream/upstream_directory.hpp>

#include <map>
#include <string>

namespace azurelb {

namespace {

bool isServing(const wire::fleet_vm &vm)
{
    return vm.state() == wire::VM_STATE_SERVING;
}

void setWantedVms(wire::pool_status &pool, const fleet_view &fleet)
{
    for (const wire::pool_size &size : fleet.document().sizes()) {
        if (size.pool() != pool.name())
            continue;
        pool.set_wanted(size.wanted_vms());
        pool.set_reason(size.reason());
    }
}

void addPools(wire::status &status, const config_view &config, const fleet_view &fleet)
{
    for (const wire::pool &pool : config.document().pools()) {
        wire::pool_status &added = *status.add_pools();
        added.set_name(pool.name());
        added.set_budget(pool.unavailable_vms());
        for (const wire::fleet_vm &vm : fleet.document().vms()) {
            if (vm.pool() != pool.name())
                continue;
            added.set_vms(added.vms() + 1);
            added.set_serving(added.serving() + (isServing(vm) ? 1 : 0));
        }
        added.set_unavailable(added.vms() - added.serving());
        setWantedVms(added, fleet);
    }
}

void addZones(wire::status &status, const config_view &config, const fleet_view &fleet)
{
    std::map<std::string, wire::zone_status> zones;
    for (const wire::availability_zone &zone : config.document().zones())
        zones[zone.name()].set_out(zone.out());
    for (const wire::fleet_vm &vm : fleet.document().vms()) {
        wire::zone_status &counted = zones[vm.zone()];
        counted.set_vms(counted.vms() + 1);
        counted.set_serving(counted.serving() + (isServing(vm) ? 1 : 0));
    }
    for (auto &[name, counted] : zones) {
        counted.set_name(name);
        *status.add_zones() = counted;
    }
}

void addQueues(wire::status &status, const config_view &config, const upstream_directory &upstreams)
{
    for (const wire::queue &queue : config.document().queues()) {
        wire::queue_status &added = *status.add_queues();
        added.set_name(queue.name());
        added.set_pool(queue.pool());
        for (const upstream_vm &each : upstreams.eligible(queue_name{queue.name()})) {
            added.set_upstreams(added.upstreams() + 1);
            added.set_slots(added.slots() + each.slots);
        }
    }
}

} // namespace

void addFleetStatus(wire::status &status, const document_source &documents,
                    const membership &members, const upstream_directory &upstreams)
{
    const config_view_ptr config = documents.config();
    const fleet_view_ptr fleet = documents.fleet();
    status.set_confirmed(documents.isConfirmed());
    status.set_config_revision(static_cast<std::int64_t>(config->storeRevision()));
    status.set_fleet_revision(static_cast<std::int64_t>(fleet->storeRevision()));
    status.set_config_generation(config->document().generation());
    for (const member &each : members.freshMembers()) {
        wire::member_status &added = *status.add_members();
        added.set_vm(each.vm.value());
        added.set_self(each.vm.value() == status.vm());
    }
    addPools(status, *config, *fleet);
    addZones(status, *config, *fleet);
    addQueues(status, *config, upstreams);
}

} // namespace azurelb
