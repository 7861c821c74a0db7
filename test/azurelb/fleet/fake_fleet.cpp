#include "fake_fleet.hpp"

#include <algorithm>

namespace azurelb::test {

namespace {

constexpr seconds freshness{3};
constexpr std::size_t keptLists{200};

} // namespace

fake_fleet::fake_fleet(seconds bootTime)
    : m_bootTime{bootTime}
{ }

void fake_fleet::addVm(const std::string &id, const std::string &zone, const std::string &rack)
{
    simulated_vm &vm = vms[id];
    vm.listed.set_id(id);
    vm.listed.set_zone(zone);
    vm.listed.set_rack(rack);
    vm.listed.set_slots(8);
    vm.listed.set_boot_id("boot" + std::to_string(++m_boots));
}

wire::pool &fake_fleet::addPool(const std::string &name, std::uint32_t minimum,
                                std::uint32_t maximum, std::uint32_t unavailable, bool isSpare)
{
    wire::pool &pool = *config.add_pools();
    pool.set_name(name);
    pool.set_minimum_vms(minimum);
    pool.set_maximum_vms(maximum);
    pool.set_unavailable_vms(unavailable);
    pool.set_spare(isSpare);
    return pool;
}

bool fake_fleet::isUp(const std::string &vm) const
{
    const auto found = vms.find(vm);
    return found != vms.end() && !found->second.isDead && found->second.bootingUntil <= now;
}

bool fake_fleet::isZoneOut(const std::string &zone) const
{
    return std::any_of(config.zones().begin(), config.zones().end(),
                       [&zone](const auto &each) { return each.name() == zone && each.out(); });
}

bool fake_fleet::isRunning(const simulated_vm &vm, time_point at) const
{
    return at < vm.workUntil + vm.longestRequest;
}

void fake_fleet::kill(const std::string &vm)
{
    simulated_vm &found = vms.at(vm);
    if (!found.isDead && found.bootingUntil <= now)
        found.downSince = now;
    found.isDead = true;
    found.workUntil = {};
}

void fake_fleet::revive(const std::string &vm)
{
    simulated_vm &found = vms.at(vm);
    if (!found.isDead)
        return;
    found.isDead = false;
    found.bootingUntil = now + m_bootTime;
    found.listed.set_boot_id("boot" + std::to_string(++m_boots));
}

void fake_fleet::remove(const std::string &vm)
{
    removedAt[vm] = now;
    vms.erase(vm);
}

void fake_fleet::reboot(const std::string &vm)
{
    simulated_vm &found = vms.at(vm);
    if (found.isRebootIgnored)
        return;
    kill(vm);
    if (!found.isRebootFailing)
        revive(vm);
}

void fake_fleet::setZone(const std::string &zone, bool isOut)
{
    assignWork();
    bumpConfigRevision();
    for (wire::availability_zone &each : *config.mutable_zones()) {
        if (each.name() == zone) {
            each.set_out(isOut);
            return;
        }
    }
    wire::availability_zone &added = *config.add_zones();
    added.set_name(zone);
    added.set_out(isOut);
}

vm_list_ptr fake_fleet::list(seconds lag) const
{
    const auto older = std::find_if(m_lists.rbegin(), m_lists.rend(),
                                    [&](const snapshot &each) { return each.at <= now - lag; });
    return older == m_lists.rend() ? m_lists.front().list : older->list;
}

std::vector<vm_observation> fake_fleet::observe(seconds lag) const
{
    std::vector<vm_observation> all;
    for (const auto &[id, vm] : vms) {
        const bool runs = isRunning(vm, now - lag);
        all.push_back({vm_id{id}, runs ? 1U : 0U,
                       isUp(id) ? probe_result::passed : probe_result::failed, now - lag});
    }
    return all;
}

bool fake_fleet::commit(const wire::fleet_document &document, std::int64_t expectedFleetRevision,
                        std::int64_t expectedConfigRevision)
{
    if ((checksFleetRevision && expectedFleetRevision != fleetRevision)
        || (checksConfigRevision && expectedConfigRevision != configRevision))
        return false;
    assignWork();
    fleet = document;
    ++fleetRevision;
    return true;
}

void fake_fleet::bumpConfigRevision()
{
    ++configRevision;
    config.set_generation(config.generation() + 1);
}

/** Serving VMs may get work until the freshness bound, from daemons with older documents. */
void fake_fleet::assignWork()
{
    for (const wire::fleet_vm &vm : fleet.vms()) {
        const bool serves = vm.state() == wire::VM_STATE_SERVING && !isZoneOut(vm.zone());
        if (serves && vm.pool() != "spare" && isUp(vm.id()))
            vms.at(vm.id()).workUntil = now + freshness;
    }
}

void fake_fleet::refresh()
{
    assignWork();
    auto list = std::make_shared<wire::vm_list>();
    for (auto &[id, vm] : vms) {
        vm.listed.set_phase(isUp(id) ? wire::VM_PHASE_LIVE : wire::VM_PHASE_REBOOTING);
        *list->add_vms() = vm.listed;
    }
    m_lists.push_back({now, std::move(list)});
    if (m_lists.size() > keptLists)
        m_lists.pop_front();
}

void fake_fleet::advance(seconds time)
{
    for (seconds passed{0}; passed < time; ++passed) {
        refresh();
        now += seconds{1};
    }
    refresh();
}

wall_time wallAt(time_point at)
{
    return wall_time{std::chrono::duration_cast<wall_time::duration>(at.time_since_epoch())};
}

const wire::fleet_vm *findVm(const wire::fleet_document &fleet, const std::string &vm)
{
    const auto found = std::find_if(fleet.vms().begin(), fleet.vms().end(),
                                    [&vm](const auto &each) { return each.id() == vm; });
    return found == fleet.vms().end() ? nullptr : &*found;
}

} // namespace azurelb::test
