#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/strategies.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <algorithm>
#include <vector>

namespace azurelb {

namespace {

void dropGone(fleet_draft &draft)
{
    std::vector<std::string> gone;
    for (const wire::fleet_vm &vm : draft.document().vms()) {
        const bool isRebooting = vm.state() == wire::VM_STATE_REBOOTING;
        if (!isRebooting && draft.memory().timeUnlisted(vm.id()) >= draft.options().goneBound)
            gone.push_back(vm.id());
    }
    draft.drop(gone);
}

/** A VM that fails after its reboot is not rebooted again for the same wave. */
void cancelPlans(fleet_draft &draft, wire::fleet_vm &vm)
{
    if (vm.state() == wire::VM_STATE_PROBING && !vm.wave().empty())
        finishMaintenance(draft, vm, true);
    vm.clear_next_pool();
    vm.clear_wave();
    vm.clear_reboots();
}

void noteAbsent(fleet_draft &draft, wire::fleet_vm &vm, sighting seen)
{
    cancelPlans(draft, vm);
    vm.set_absent(true);
    if (seen == sighting::leaving)
        vm.clear_pending_waves();
    draft.enter(vm, wire::VM_STATE_PROBING,
                seen == sighting::leaving ? "leaving by the platform" : "not live in the list");
}

void noteNewBoot(fleet_draft &draft, wire::fleet_vm &vm)
{
    cancelPlans(draft, vm);
    vm.set_absent(false);
    vm.set_previous_boot_id(vm.boot_id());
    vm.set_boot_id(draft.list().find(vm.id())->boot_id());
    draft.enter(vm, wire::VM_STATE_PROBING, "rebooted without an order");
}

void observeVm(fleet_draft &draft, wire::fleet_vm &vm)
{
    const sighting seen = draft.list().sight(vm);
    const bool isExpected = vm.state() == wire::VM_STATE_REBOOTING && seen != sighting::leaving;
    if (isExpected || seen == sighting::outdated)
        return;
    if (seen == sighting::rebooted) {
        noteNewBoot(draft, vm);
    } else if (vm.state() == wire::VM_STATE_BROKEN) {
        return;
    } else if (seen == sighting::live && vm.absent()) {
        vm.set_absent(false);
        draft.enter(vm, wire::VM_STATE_PROBING, "live again");
    } else if (seen != sighting::live && !vm.absent()) {
        noteAbsent(draft, vm, seen);
    }
}

void adoptNew(fleet_draft &draft)
{
    for (const wire::listed_vm &listed : draft.input().list.vms()) {
        const bool isCandidate = !listed.entry() && listed.phase() == wire::VM_PHASE_LIVE;
        if (!isCandidate || draft.findVm(listed.id()))
            continue;
        const std::string pool = poolForNewVm(draft);
        if (!pool.empty())
            draft.adopt(listed, pool, "new in the platform's list");
    }
}

} // namespace

std::string poolForNewVm(fleet_draft &draft)
{
    const wire::pool *best = nullptr;
    std::uint32_t bestLack = 0;
    const wire::pool *spare = draft.sparePool();
    for (const wire::pool &pool : draft.input().config.pools()) {
        const std::uint32_t members = draft.counts().find(pool.name()).members;
        const std::uint32_t goal = spare ? wantedSize(draft, pool) : pool.maximum_vms();
        if (!pool.spare() && goal > members && goal - members > bestLack) {
            bestLack = goal - members;
            best = &pool;
        }
    }
    if (!best)
        best = spare;
    return best ? best->name() : std::string{};
}

void observePlatform(fleet_draft &draft)
{
    dropGone(draft);
    for (int index = 0; index < draft.size(); ++index)
        observeVm(draft, draft.at(index));
    adoptNew(draft);
}

} // namespace azurelb
