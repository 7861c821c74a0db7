#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/plan_passes.hpp>
#include <azurelb/wire/config.pb.h>

#include <algorithm>

namespace azurelb {

namespace {

/** Returns whether the VM is in the spare pool, which gets no work, and runs nothing. */
bool isIdleSpare(fleet_draft &draft, const wire::fleet_vm &vm)
{
    const wire::pool *pool = draft.findPool(vm.pool());
    const vm_observation *seen = draft.findObservation(vm.id());
    return pool && pool->spare() && (!seen || seen->running.value_or(0) == 0);
}

bool canLeaveSparePool(fleet_draft &draft, const wire::fleet_vm &vm)
{
    const pool_availability &count = draft.currentAvailability().find(vm.pool());
    return draft.currentAvailability().isAvailable(vm)
        && count.available > count.pool->minimum_vms();
}

bool canDrain(fleet_draft &draft, const wire::fleet_vm &vm)
{
    return isWithheldByZone(draft, vm)
        || (draft.currentAvailability().isAvailable(vm)
            && draft.currentAvailability().canTakeOut(vm));
}

void applyMoveOrder(fleet_draft &draft, const wire::move_order &order)
{
    wire::fleet_vm *vm = draft.findVm(order.vm());
    if (!vm || vm->order_generation() >= order.generation() || !draft.findPool(order.pool()))
        return;
    if (vm->pool() != order.pool()) {
        const bool isMoving = vm->next_pool() == order.pool();
        if (!isMoving)
            (void)startMove(draft, *vm, order.pool(), "ordered by an operator");
        return;
    }
    (void)draft.mutableDocument();
    vm->set_order_generation(order.generation());
}

} // namespace

bool isWithheldByZone(fleet_draft &draft, const wire::fleet_vm &vm)
{
    return vm.state() == wire::VM_STATE_PROBING && vm.wave().empty() && !vm.absent()
        && draft.currentAvailability().isZoneOut(vm.zone())
        && draft.history().timeHealthy(vm.id()) >= draft.options().minHealthyTime;
}

bool startMove(fleet_draft &draft, wire::fleet_vm &vm, const std::string &pool,
               std::string_view reason)
{
    if (isIdleSpare(draft, vm)) {
        const bool isAllowed = canLeaveSparePool(draft, vm);
        if (isAllowed)
            draft.assignToPool(vm, pool, reason);
        return isAllowed;
    }
    if (!canDrain(draft, vm))
        return false;
    vm.set_next_pool(pool);
    draft.setState(vm, wire::VM_STATE_DRAINING, reason);
    return true;
}

bool assignSpareVm(fleet_draft &draft, const std::string &pool, std::string_view reason)
{
    const wire::pool *spare = draft.sparePool();
    if (!spare)
        return false;
    const auto &zones = draft.currentAvailability().find(pool).zones;
    wire::fleet_vm *best = nullptr;
    std::uint32_t bestMembers = 0;
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        if (vm.pool() != spare->name() || !draft.currentAvailability().isAvailable(vm))
            continue;
        const auto zone = zones.find(vm.zone());
        const std::uint32_t members = zone == zones.end() ? 0 : zone->second.available;
        if (!best || members < bestMembers) {
            best = &vm;
            bestMembers = members;
        }
    }
    return best && startMove(draft, *best, pool, reason);
}

void applyMoveOrders(fleet_draft &draft)
{
    for (const wire::move_order &order : draft.input().config.moves())
        applyMoveOrder(draft, order);
}

} // namespace azurelb
