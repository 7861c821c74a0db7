#include "fleet_oracle.hpp"

namespace azurelb::test {

namespace {

constexpr seconds freshness{3};

using transition = std::pair<wire::vm_state, wire::vm_state>;

const std::set<transition> &forbiddenTransitions()
{
    using namespace wire;
    static const std::set<transition> all{
        {VM_STATE_SERVING, VM_STATE_REBOOTING},  {VM_STATE_SERVING, VM_STATE_BROKEN},
        {VM_STATE_DRAINING, VM_STATE_BROKEN},    {VM_STATE_REBOOTING, VM_STATE_SERVING},
        {VM_STATE_REBOOTING, VM_STATE_DRAINING}, {VM_STATE_PROBING, VM_STATE_REBOOTING},
        {VM_STATE_BROKEN, VM_STATE_SERVING},     {VM_STATE_BROKEN, VM_STATE_DRAINING},
        {VM_STATE_BROKEN, VM_STATE_REBOOTING}};
    return all;
}

} // namespace

bool fleet_oracle::isKnownDown(const std::string &vm, time_point planned) const
{
    const auto removed = m_world.removedAt.find(vm);
    if (removed != m_world.removedAt.end())
        return removed->second < planned - lag;
    if (m_world.isUp(vm))
        return false;
    const time_point downSince = m_world.vms.at(vm).downSince;
    const auto seen = m_seenDown.find(vm);
    return downSince < planned - lag || (seen != m_seenDown.end() && seen->second >= downSince);
}

bool fleet_oracle::isAvailable(const wire::fleet_vm &vm, time_point planned) const
{
    return vm.state() == wire::VM_STATE_SERVING && !vm.absent() && !m_world.isZoneOut(vm.zone())
        && !isKnownDown(vm.id(), planned);
}

std::string fleet_oracle::checkMove(const wire::fleet_vm &before, const wire::fleet_vm &after)
{
    if (before.pool() == after.pool() || before.pool() == "spare")
        return {};
    if (before.state() != wire::VM_STATE_DRAINING)
        return after.id() + " moved without a drain";
    if (m_world.now < m_drains[after.id()] + freshness)
        return after.id() + " moved before its drain took effect";
    const auto real = m_world.vms.find(after.id());
    if (real != m_world.vms.end() && m_world.isRunning(real->second, m_world.now))
        return after.id() + " moved with requests running";
    return {};
}

std::string fleet_oracle::checkVm(const wire::fleet_vm *before, const wire::fleet_vm &after)
{
    if (!before)
        return after.state() == wire::VM_STATE_PROBING
            ? ""
            : after.id() + " was added in a state other than probing";
    if (forbiddenTransitions().contains({before->state(), after.state()}))
        return after.id() + " made a forbidden state transition";
    const bool drains = after.state() == wire::VM_STATE_DRAINING;
    if (drains && before->state() != wire::VM_STATE_DRAINING)
        m_drains[after.id()] = m_world.now;
    const bool isReturn =
        before->state() == wire::VM_STATE_PROBING && after.state() == wire::VM_STATE_SERVING;
    if (isReturn && m_world.isZoneOut(after.zone()))
        return after.id() + " returned to a zone that is out";
    return checkMove(*before, after);
}

std::string fleet_oracle::checkBudgets(const wire::fleet_document &before, time_point planned) const
{
    std::set<std::string> reduced;
    for (const wire::fleet_vm &vm : before.vms()) {
        const wire::fleet_vm *after = findVm(m_world.fleet, vm.id());
        const bool isTakenOut = after && after->state() == wire::VM_STATE_DRAINING;
        const bool isMovedFromSpare = after && vm.pool() == "spare" && after->pool() != "spare";
        if (isAvailable(vm, planned) && (isTakenOut || isMovedFromSpare))
            reduced.insert(vm.pool());
    }
    for (const wire::pool &pool : m_world.config.pools()) {
        std::uint32_t available = 0;
        std::uint32_t unavailable = 0;
        for (const wire::fleet_vm &vm : m_world.fleet.vms()) {
            if (vm.pool() == pool.name())
                ++(isAvailable(vm, planned) ? available : unavailable);
        }
        const bool isBroken = available < pool.minimum_vms()
            || (unavailable > pool.unavailable_vms() && !pool.spare());
        if (reduced.contains(pool.name()) && isBroken)
            return "a plan exceeded the budget of pool " + pool.name();
    }
    return {};
}

void fleet_oracle::recordList(const wire::vm_list &list)
{
    for (const wire::listed_vm &vm : list.vms()) {
        if (vm.phase() != wire::VM_PHASE_LIVE && m_world.vms.contains(vm.id())
            && m_world.vms.at(vm.id()).listed.boot_id() == vm.boot_id())
            m_seenDown[vm.id()] = m_world.now;
    }
}

std::string fleet_oracle::checkCommit(const wire::fleet_document &before, time_point planned)
{
    std::set<std::string> ids;
    for (const wire::fleet_vm &vm : m_world.fleet.vms()) {
        if (!ids.insert(vm.id()).second)
            return vm.id() + " is in two pools";
        std::string fault = checkVm(findVm(before, vm.id()), vm);
        if (!fault.empty())
            return fault;
    }
    return checkBudgets(before, planned);
}

std::string fleet_oracle::checkReboot(const std::string &vm)
{
    const wire::fleet_vm *found = findVm(m_world.fleet, vm);
    const auto real = m_world.vms.find(vm);
    if (!found || real == m_world.vms.end())
        return {};
    if (found->state() != wire::VM_STATE_REBOOTING || found->wave().empty())
        return vm + " rebooted without a drain";
    if (m_world.now < m_drains[vm] + freshness)
        return vm + " rebooted before its drain took effect";
    if (m_world.isRunning(real->second, m_world.now))
        return vm + " rebooted with requests running";
    const bool hasEffect = !real->second.isRebootIgnored;
    if (hasEffect && !m_reboots.insert({vm, found->wave()}).second)
        return vm + " rebooted twice for wave " + found->wave();
    return {};
}

} // namespace azurelb::test
