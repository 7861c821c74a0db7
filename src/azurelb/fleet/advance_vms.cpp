#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/plan_passes.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <array>

namespace azurelb {

namespace {

using state_handler = void (*)(fleet_draft &, wire::fleet_vm &);

bool isDrained(fleet_draft &draft, const wire::fleet_vm &vm)
{
    if (draft.history().timeInState(vm) >= draft.options().drainTimeout)
        return true;
    const vm_observation *seen = draft.findObservation(vm.id());
    const time_point drainInForce =
        draft.history().inStateSince(vm) + draft.options().freshnessBound;
    return seen && seen->running == 0U && seen->at >= drainInForce;
}

void stayServing(fleet_draft &, wire::fleet_vm &) { }

void orderReboot(fleet_draft &draft, wire::fleet_vm &vm, std::string_view reason)
{
    vm.set_reboots(vm.reboots() + 1);
    draft.setState(vm, wire::VM_STATE_REBOOTING, reason);
    draft.addReboot({vm_id{vm.id()}, vm.boot_id()});
}

void markBroken(fleet_draft &draft, wire::fleet_vm &vm, std::string_view reason)
{
    if (!vm.wave().empty())
        finishMaintenance(draft, vm, true);
    vm.clear_reboots();
    draft.setState(vm, wire::VM_STATE_BROKEN, reason);
}

void advanceDraining(fleet_draft &draft, wire::fleet_vm &vm)
{
    if (!isDrained(draft, vm))
        return;
    if (!vm.wave().empty()) {
        orderReboot(draft, vm, "drained for wave " + vm.wave());
    } else if (draft.findPool(vm.next_pool())) {
        draft.assignToPool(vm, vm.next_pool(), vm.reason());
    } else {
        vm.clear_next_pool();
        draft.setState(vm, wire::VM_STATE_SERVING, "the pool to move to was removed");
    }
}

void advanceRebooting(fleet_draft &draft, wire::fleet_vm &vm)
{
    const listed_state seen = draft.list().listedState(vm);
    const auto spent = draft.history().timeInState(vm);
    if (seen == listed_state::rebooted) {
        vm.set_previous_boot_id(vm.boot_id());
        vm.set_boot_id(draft.list().find(vm.id())->boot_id());
        draft.setState(vm, wire::VM_STATE_PROBING, "rebooted for wave " + vm.wave());
    } else if (spent >= draft.options().rebootTimeout) {
        markBroken(draft, vm, "did not come back from its reboot");
    } else if (seen == listed_state::live && spent >= draft.options().rebootRetryInterval) {
        if (vm.reboots() < draft.options().maxRebootAttempts)
            orderReboot(draft, vm, "the order to reboot had no effect");
        else
            markBroken(draft, vm, "orders to reboot had no effect");
    }
}

bool hasPassedProbe(fleet_draft &draft, const wire::fleet_vm &vm)
{
    const vm_observation *seen = draft.findObservation(vm.id());
    const bool hasPassed =
        seen && seen->probe == probe_result::passed && seen->at >= draft.history().inStateSince(vm);
    return hasPassed && draft.history().timeInState(vm) >= draft.options().minHealthyTime
        && draft.history().timeHealthy(vm.id()) >= draft.options().minHealthyTime;
}

void returnToService(fleet_draft &draft, wire::fleet_vm &vm)
{
    if (draft.currentAvailability().isZoneOut(vm.zone()))
        return;
    const bool mayReturn = draft.hadNoAvailableVm(vm.pool())
        || draft.history().tryReturn(vm.pool(), draft.options().returnInterval);
    if (mayReturn)
        draft.setState(vm, wire::VM_STATE_SERVING, "probed");
}

void advanceProbing(fleet_draft &draft, wire::fleet_vm &vm)
{
    const bool isOut = draft.currentAvailability().isZoneOut(vm.zone());
    if (hasPassedProbe(draft, vm)) {
        if (!vm.wave().empty())
            finishMaintenance(draft, vm, false);
        returnToService(draft, vm);
    } else if (!vm.absent() && !isOut
               && draft.history().timeInState(vm) >= draft.options().probeTimeout)
    {
        markBroken(draft, vm, "no probe passed");
    }
}

void stayBroken(fleet_draft &, wire::fleet_vm &) { }

constexpr std::array<state_handler, wire::vm_state_ARRAYSIZE> stateHandlers{
    stayServing, advanceDraining, advanceRebooting, advanceProbing, stayBroken};

} // namespace

void withdrawOutZones(fleet_draft &draft)
{
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        if (vm.state() == wire::VM_STATE_SERVING
            && draft.currentAvailability().isZoneOut(vm.zone()))
            draft.setState(vm, wire::VM_STATE_PROBING, "zone is out");
    }
}

void advanceVms(fleet_draft &draft)
{
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        stateHandlers.at(static_cast<std::size_t>(vm.state()))(draft, vm);
    }
}

} // namespace azurelb
