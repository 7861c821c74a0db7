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

sighting vm_index::sight(const wire::fleet_vm &vm) const noexcept
{
    const wire::listed_vm *listed = find(vm.id());
    if (!listed)
        return sighting::unlisted;
    if (!vm.previous_boot_id().empty() && listed->boot_id() == vm.previous_boot_id())
        return sighting::outdated;
    if (listed->phase() == wire::VM_PHASE_LEAVING)
        return sighting::leaving;
    if (listed->phase() != wire::VM_PHASE_LIVE)
        return sighting::down;
    return listed->boot_id() == vm.boot_id() ? sighting::live : sighting::rebooted;
}

} // namespace azurelb
