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

/** Working copy of the fleet document in one planning step, with the step's input. */
class fleet_draft
{
public:
    fleet_draft(const plan_input &input, const fleet_options &options, planner_history &history);

    [[nodiscard]] const plan_input &input() const noexcept { return m_input; }
    [[nodiscard]] const fleet_options &options() const noexcept { return m_options; }
    [[nodiscard]] planner_history &history() noexcept { return m_history; }
    [[nodiscard]] const vm_index &list() const noexcept { return m_list; }
    [[nodiscard]] const wire::fleet_document &document() const noexcept { return m_document; }

    /** Returns the document for modification and marks it as changed, so that it is committed. */
    [[nodiscard]] wire::fleet_document &mutableDocument();

    /** Returns the availability according to the present state of the draft. */
    [[nodiscard]] const availability &currentAvailability();

    [[nodiscard]] int size() const noexcept { return m_document.vms_size(); }

    /** Returns one VM of the draft. Changes need a call of mutableDocument() or setState() to be
        committed. */
    [[nodiscard]] wire::fleet_vm &at(int index) { return *m_document.mutable_vms(index); }

    /** These return null if there is none. */
    [[nodiscard]] wire::fleet_vm *findVm(const std::string &vm);
    [[nodiscard]] wire::wave_progress *findWave(const std::string &wave);
    [[nodiscard]] const wire::pool *findPool(const std::string &name) const;
    [[nodiscard]] const wire::pool *sparePool() const;
    [[nodiscard]] const vm_observation *findObservation(const std::string &vm) const;

    [[nodiscard]] std::uint64_t wallTimeMs() const;

    /** Sets the VM's state, the reason and the time of the change. */
    void setState(wire::fleet_vm &vm, wire::vm_state state, std::string_view reason);

    /** Completes the move of a VM to the pool, where it serves at once. */
    void assignToPool(wire::fleet_vm &vm, const std::string &pool, std::string_view reason);

    /** Adds a VM of the platform's list to a pool, in the probing state. */
    void addVm(const wire::listed_vm &listed, const std::string &pool, std::string_view reason);

    /** Removes VMs from the document and keeps the order of the others. */
    void removeVms(const std::vector<std::string> &vms);

    /** Adds an audit record. Records of VMs are added by finish(). */
    void addAuditRecord(std::string_view verb, const std::string &entity, std::string_view reason);

    void addReboot(reboot_order action) { m_result.reboots.push_back(std::move(action)); }

    /** Returns whether the pool had no available VM when the step began. */
    [[nodiscard]] bool hadNoAvailableVm(const std::string &pool) const;

    /** Returns the result, with an audit record for each VM that differs from the input document.
     */
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
    std::unordered_map<std::string, int> m_indexById{};
    std::unordered_set<std::string> m_emptyPools{};
    std::unordered_map<std::string, const vm_observation *> m_observations{};
    plan_result m_result{};
};

} // namespace azurelb
