#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/identifier.hpp>
#include <azurelb/wire/fleet.pb.h>

#include <unordered_map>

namespace azurelb {

/** Immutable snapshot of the pool and maintenance state of every VM at one revision. */
class fleet_view
{
public:
    /** The empty fleet, at revision 0. */
    fleet_view() = default;

    fleet_view(wire::fleet_document document, revision at);

    fleet_view(const fleet_view &) = delete;
    fleet_view &operator=(const fleet_view &) = delete;

    [[nodiscard]] const wire::fleet_document &document() const noexcept { return m_document; }

    [[nodiscard]] revision storeRevision() const noexcept { return m_storeRevision; }

    /** Returns null if the VM is in no pool. */
    [[nodiscard]] const wire::fleet_vm *find(const vm_id &vm) const noexcept;

private:
    wire::fleet_document m_document{};
    revision m_storeRevision{};
    std::unordered_map<vm_id, const wire::fleet_vm *> m_vms{};
};

} // namespace azurelb
