#include <azurelb/config/fleet_view.hpp>

namespace azurelb {

fleet_view::fleet_view(wire::fleet_document document, revision at)
    : m_document{std::move(document)}
    , m_storeRevision{at}
{
    m_vms.reserve(static_cast<std::size_t>(m_document.vms_size()));
    for (const wire::fleet_vm &vm : m_document.vms())
        m_vms.emplace(vm_id{vm.id()}, &vm);
}

const wire::fleet_vm *fleet_view::find(const vm_id &vm) const noexcept
{
    const auto found = m_vms.find(vm);
    return found == m_vms.end() ? nullptr : found->second;
}

} // namespace azurelb
