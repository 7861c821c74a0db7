#include <azurelb/fleet/vm_index.hpp>

#include <azurelb/wire/fleet.pb.h>
#include <azurelb/wire/platform.pb.h>

namespace azurelb {

vm_index::vm_index(const wire::vm_list &list)
{
    for (const wire::listed_vm &vm : list.vms())
        m_vms.emplace(vm.id(), &vm);
}

const wire::listed_vm *vm_index::find(std::string_view vm) const noexcept
{
    const auto found = m_vms.find(vm);
    return found == m_vms.end() ? nullptr : found->second;
}

listed_state vm_index::listedState(const wire::fleet_vm &vm) const noexcept
{
    const wire::listed_vm *listed = find(vm.id());
    if (!listed)
        return listed_state::unlisted;
    if (!vm.previous_boot_id().empty() && listed->boot_id() == vm.previous_boot_id())
        return listed_state::outdated;
    if (listed->phase() == wire::VM_PHASE_LEAVING)
        return listed_state::leaving;
    if (listed->phase() != wire::VM_PHASE_LIVE)
        return listed_state::down;
    return listed->boot_id() == vm.boot_id() ? listed_state::live : listed_state::rebooted;
}

} // namespace azurelb
