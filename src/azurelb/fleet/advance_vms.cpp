#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/strategies.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <array>

namespace azurelb {

namespace {

using advance = void (*)(fleet_draft &, wire::fleet_vm &);

bool isDrained(fleet_draft &draft, const wire::fleet_vm &vm)
{
    if (draft.memory().timeInState(vm) >= draft.options().drainBound)
        return true;
    const vm_observation *seen = draft.observation(vm.id());
    const time_point quietFrom = draft.memory().seenSince(vm) + draft.options().freshnessBound;
    return seen && seen->running == 0U && seen->at >= quietFrom;
}

void stayServing(fleet_draft &, wire::fleet_vm &) { }

void orderReboot(fleet_draft &draft, wire::fleet_vm &vm, std::string_view reason)
{
    vm.set_reboots(vm.reboots() + 1);
    draft.enter(vm, wire::VM_STATE_REBOOTING, reason);
    draft.order({vm_id{vm.id()}, vm.boot_id()});
}

void breakVm(fleet_draft &draft, wire::fleet_vm &vm, std::string_view reason)
{
    if (!vm.wave().empty())
        finishMaintenance(draft, vm, true);
    vm.clear_reboots();
    draft.enter(vm, wire::VM_STATE_BROKEN, reason);
}

void advanceDraining(fleet_draft &draft, wire::fleet_vm &vm)
{
    if (!isDrained(draft, vm))
        return;
    if (!vm.wave().empty()) {
        orderReboot(draft, vm, "drained for wave " + vm.wave());
    } else if (draft.findPool(vm.next_pool())) {
        draft.enterPool(vm, vm.next_pool(), vm.reason());
    } else {
        vm.clear_next_pool();
        draft.enter(vm, wire::VM_STATE_SERVING, "the pool to move to was removed");
    }
}

void advanceRebooting(fleet_draft &draft, wire::fleet_vm &vm)
{
    const sighting seen = draft.list().sight(vm);
    const auto spent = draft.memory().timeInState(vm);
    if (seen == sighting::rebooted) {
        vm.set_previous_boot_id(vm.boot_id());
        vm.set_boot_id(draft.list().find(vm.id())->boot_id());
        draft.enter(vm, wire::VM_STATE_PROBING, "rebooted for wave " + vm.wave());
    } else if (spent >= draft.options().rebootTimeout) {
        breakVm(draft, vm, "did not come back from its reboot");
    } else if (seen == sighting::live && spent >= draft.options().rebootRetry) {
        if (vm.reboots() < draft.options().rebootAttempts)
            orderReboot(draft, vm, "the order to reboot had no effect");
        else
            breakVm(draft, vm, "orders to reboot had no effect");
    }
}

bool isProbed(fleet_draft &draft, const wire::fleet_vm &vm)
{
    const vm_observation *seen = draft.observation(vm.id());
    const bool hasPassed =
        seen && seen->probe == probe_result::passed && seen->at >= draft.memory().seenSince(vm);
    return hasPassed && draft.memory().timeInState(vm) >= draft.options().probeTime
        && draft.memory().timeHealthy(vm.id()) >= draft.options().probeTime;
}

void returnVm(fleet_draft &draft, wire::fleet_vm &vm)
{
    if (draft.counts().isOut(vm.zone()))
        return;
    const bool mayReturn = draft.wasEmpty(vm.pool())
        || draft.memory().takeReturn(vm.pool(), draft.options().returnInterval);
    if (mayReturn)
        draft.enter(vm, wire::VM_STATE_SERVING, "probed");
}

void advanceProbing(fleet_draft &draft, wire::fleet_vm &vm)
{
    const bool isOut = draft.counts().isOut(vm.zone());
    if (isProbed(draft, vm)) {
        if (!vm.wave().empty())
            finishMaintenance(draft, vm, false);
        returnVm(draft, vm);
    } else if (!vm.absent() && !isOut
               && draft.memory().timeInState(vm) >= draft.options().probeTimeout) {
        breakVm(draft, vm, "no probe passed");
    }
}

void stayBroken(fleet_draft &, wire::fleet_vm &) { }

constexpr std::array<advance, wire::vm_state_ARRAYSIZE> advances{
    stayServing, advanceDraining, advanceRebooting, advanceProbing, stayBroken};

} // namespace

void holdZones(fleet_draft &draft)
{
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        if (vm.state() == wire::VM_STATE_SERVING && draft.counts().isOut(vm.zone()))
            draft.enter(vm, wire::VM_STATE_PROBING, "zone is out");
    }
}

void advanceVms(fleet_draft &draft)
{
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        advances.at(static_cast<std::size_t>(vm.state()))(draft, vm);
    }
}

} // namespace azurelb
