#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/plan_passes.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <algorithm>
#include <vector>

namespace azurelb {

namespace {

void removeUnlisted(fleet_draft &draft)
{
    std::vector<std::string> unlisted;
    for (const wire::fleet_vm &vm : draft.document().vms()) {
        const bool isRebooting = vm.state() == wire::VM_STATE_REBOOTING;
        if (!isRebooting
            && draft.history().timeUnlisted(vm.id()) >= draft.options().unlistedTimeout)
            unlisted.push_back(vm.id());
    }
    draft.removeVms(unlisted);
}

/** Cancels moves and maintenance of the VM. If it fails after its reboot, its maintenance counts as
    failed, so that the same wave does not reboot it again. */
void cancelPlans(fleet_draft &draft, wire::fleet_vm &vm)
{
    if (vm.state() == wire::VM_STATE_PROBING && !vm.wave().empty())
        finishMaintenance(draft, vm, true);
    vm.clear_next_pool();
    vm.clear_wave();
    vm.clear_reboots();
}

void handleAbsence(fleet_draft &draft, wire::fleet_vm &vm, listed_state seen)
{
    cancelPlans(draft, vm);
    vm.set_absent(true);
    if (seen == listed_state::leaving)
        vm.clear_pending_waves();
    draft.setState(vm, wire::VM_STATE_PROBING,
                   seen == listed_state::leaving ? "leaving by the platform"
                                                 : "not live in the list");
}

void handleUnorderedReboot(fleet_draft &draft, wire::fleet_vm &vm)
{
    cancelPlans(draft, vm);
    vm.set_absent(false);
    vm.set_previous_boot_id(vm.boot_id());
    vm.set_boot_id(draft.list().find(vm.id())->boot_id());
    draft.setState(vm, wire::VM_STATE_PROBING, "rebooted without an order");
}

void observeVm(fleet_draft &draft, wire::fleet_vm &vm)
{
    const listed_state seen = draft.list().listedState(vm);
    const bool isExpected = vm.state() == wire::VM_STATE_REBOOTING && seen != listed_state::leaving;
    if (isExpected || seen == listed_state::outdated)
        return;
    if (seen == listed_state::rebooted) {
        handleUnorderedReboot(draft, vm);
    } else if (vm.state() == wire::VM_STATE_BROKEN) {
        return;
    } else if (seen == listed_state::live && vm.absent()) {
        vm.set_absent(false);
        draft.setState(vm, wire::VM_STATE_PROBING, "live again");
    } else if (seen != listed_state::live && !vm.absent()) {
        handleAbsence(draft, vm, seen);
    }
}

void addNewVms(fleet_draft &draft)
{
    for (const wire::listed_vm &listed : draft.input().list.vms()) {
        const bool isCandidate = !listed.entry() && listed.phase() == wire::VM_PHASE_LIVE;
        if (!isCandidate || draft.findVm(listed.id()))
            continue;
        const std::string pool = choosePoolForNewVm(draft);
        if (!pool.empty())
            draft.addVm(listed, pool, "new in the platform's list");
    }
}

} // namespace

std::string choosePoolForNewVm(fleet_draft &draft)
{
    const wire::pool *best = nullptr;
    std::uint32_t largestDeficit = 0;
    const wire::pool *spare = draft.sparePool();
    for (const wire::pool &pool : draft.input().config.pools()) {
        const std::uint32_t members = draft.currentAvailability().find(pool.name()).members;
        const std::uint32_t target = spare ? targetSize(draft, pool) : pool.maximum_vms();
        if (!pool.spare() && target > members && target - members > largestDeficit) {
            largestDeficit = target - members;
            best = &pool;
        }
    }
    if (!best)
        best = spare;
    return best ? best->name() : std::string{};
}

void applyVmList(fleet_draft &draft)
{
    removeUnlisted(draft);
    for (int index = 0; index < draft.size(); ++index)
        observeVm(draft, draft.at(index));
    addNewVms(draft);
}

} // namespace azurelb
