#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <string_view>
#include <unordered_map>

namespace azurelb {

/** How the platform's list shows a VM of the fleet document. */
enum class listed_state {
    live,
    /** Live with another boot id than the document holds. */
    rebooted,
    /** The entry is older than the document. */
    outdated,
    down,
    leaving,
    unlisted
};

/** The platform's list by VM. The list outlives the index. */
class vm_index
{
public:
    explicit vm_index(const wire::vm_list &list);

    /** Null if the VM is not listed. */
    [[nodiscard]] const wire::listed_vm *find(std::string_view vm) const noexcept;

    [[nodiscard]] listed_state listedState(const wire::fleet_vm &vm) const noexcept;

private:
    std::unordered_map<std::string_view, const wire::listed_vm *> m_vms{};
};

} // namespace azurelb
