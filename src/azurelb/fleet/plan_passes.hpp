#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace azurelb {

/** Takes over what the platform's list tells: new, absent, gone and rebooted VMs. */
void applyVmList(fleet_draft &draft);

/** Holds back the VMs of zones that are out, so that they return by a probe and gradually. */
void withdrawOutZones(fleet_draft &draft);

/** Brings every drain, reboot and probe under way to its next state. */
void advanceVms(fleet_draft &draft);

/** Begins, pauses and ends waves. */
void updateWaves(fleet_draft &draft);

/** Takes VMs out of service for the waves within the budgets. */
void drainForWaves(fleet_draft &draft);

/** Carries out the operators' orders to move a VM. */
void applyMoveOrders(fleet_draft &draft);

/** Refills and shrinks pools toward their wanted sizes. */
void resizePools(fleet_draft &draft);

/** Notes the result of a VM's maintenance and gives the VM back to the wave's count. */
void finishMaintenance(fleet_draft &draft, wire::fleet_vm &vm, bool isFailed);

/** True if the VM is healthy and kept out of service by nothing but its zone. */
[[nodiscard]] bool isWithheldByZone(fleet_draft &draft, const wire::fleet_vm &vm);

/**
 * Begins a move. A VM of the spare pool, which runs nothing, moves at once; any other is drained
 * first. False if a budget forbids it.
 */
[[nodiscard]] bool startMove(fleet_draft &draft, wire::fleet_vm &vm, const std::string &pool,
                             std::string_view reason);

/** Moves one available spare VM to the pool. False if there is none to spare. */
[[nodiscard]] bool assignSpareVm(fleet_draft &draft, const std::string &pool,
                                 std::string_view reason);

/** Size that the pool shall have by the document, within its configured bounds. */
[[nodiscard]] std::uint32_t targetSize(const fleet_draft &draft, const wire::pool &pool);

/** Time for which a pool has to be off its size, by the operators' weight of moves. */
[[nodiscard]] duration resizeDelay(const fleet_draft &draft);

/** Pool that a VM without one joins: the one that lacks most, else the spare pool; or empty. */
[[nodiscard]] std::string choosePoolForNewVm(fleet_draft &draft);

} // namespace azurelb
