#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <string_view>
#include <unordered_map>

namespace azurelb {

/** State of a VM of the fleet document according to the platform's list. */
enum class listed_state {
    live,
    /** Live with a boot id other than that of the document. */
    rebooted,
    /** The entry still has the previous boot id, so it is older than the document. */
    outdated,
    down,
    leaving,
    unlisted
};

/** Index of the platform's list by VM id. The list must outlive the index. */
class vm_index
{
public:
    explicit vm_index(const wire::vm_list &list);

    /** Returns null if the VM is not listed. */
    [[nodiscard]] const wire::listed_vm *find(std::string_view vm) const noexcept;

    [[nodiscard]] listed_state listedState(const wire::fleet_vm &vm) const noexcept;

private:
    std::unordered_map<std::string_view, const wire::listed_vm *> m_vms{};
};

} // namespace azurelb
