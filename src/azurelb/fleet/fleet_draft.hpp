#pragma once

#include <azurelb/fleet/availability.hpp>
#include <azurelb/fleet/fleet_options.hpp>
#include <azurelb/fleet/fwd.hpp>
#include <azurelb/fleet/plan_input.hpp>
#include <azurelb/fleet/plan_result.hpp>
#include <azurelb/fleet/planner_history.hpp>
#include <azurelb/fleet/vm_index.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace azurelb {

/** The fleet document while one step changes it, with what the step knows. */
class fleet_draft
{
public:
    fleet_draft(const plan_input &input, const fleet_options &options, planner_history &history);

    [[nodiscard]] const plan_input &input() const noexcept { return m_input; }
    [[nodiscard]] const fleet_options &options() const noexcept { return m_options; }
    [[nodiscard]] planner_history &history() noexcept { return m_history; }
    [[nodiscard]] const vm_index &list() const noexcept { return m_list; }
    [[nodiscard]] const wire::fleet_document &document() const noexcept { return m_document; }

    /** The document to change; the step then commits it. */
    [[nodiscard]] wire::fleet_document &mutableDocument();

    /** Availability by the draft as it is now. */
    [[nodiscard]] const availability &currentAvailability();

    [[nodiscard]] int size() const noexcept { return m_document.vms_size(); }

    /** One VM of the draft. A change of it counts only after change() or enter(). */
    [[nodiscard]] wire::fleet_vm &at(int index) { return *m_document.mutable_vms(index); }

    /** Null if there is none. */
    [[nodiscard]] wire::fleet_vm *findVm(const std::string &vm);
    [[nodiscard]] wire::wave_progress *findWave(const std::string &wave);
    [[nodiscard]] const wire::pool *findPool(const std::string &name) const;
    [[nodiscard]] const wire::pool *sparePool() const;
    [[nodiscard]] const vm_observation *findObservation(const std::string &vm) const;

    [[nodiscard]] std::uint64_t wallTimeMs() const;

    /** Puts the VM into the state. */
    void setState(wire::fleet_vm &vm, wire::vm_state state, std::string_view reason);

    /** Moves a drained VM, which serves the pool from now on. */
    void assignToPool(wire::fleet_vm &vm, const std::string &pool, std::string_view reason);

    /** Adds a VM of the platform's list to a pool. */
    void addVm(const wire::listed_vm &listed, const std::string &pool, std::string_view reason);

    /** Takes VMs out of the document. The order of the others is kept. */
    void removeVms(const std::vector<std::string> &vms);

    /** Records a change of something else than a VM. */
    void addAuditRecord(std::string_view verb, const std::string &entity, std::string_view reason);

    void addReboot(reboot_order action) { m_step.reboots.push_back(std::move(action)); }

    /** True if the pool had no available VM when the step began. */
    [[nodiscard]] bool hadNoAvailableVm(const std::string &pool) const;

    /** The step, with one audit record for each VM that differs from the document it began with. */
    [[nodiscard]] plan_result finish();

private:
    void indexVms();
    void addVmRecords();
    void addVmRecord(const wire::fleet_vm *before, const wire::fleet_vm *after);

    const plan_input &m_input;
    const fleet_options &m_options;
    planner_history &m_history;
    vm_index m_list;
    wire::fleet_document m_document;
    bool m_isChanged{false};
    std::optional<availability> m_availability{};
    std::unordered_map<std::string, int> m_indexes{};
    std::unordered_set<std::string> m_emptyPools{};
    std::unordered_map<std::string, const vm_observation *> m_observations{};
    plan_result m_step{};
};

} // namespace azurelb
