#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace azurelb {

/** Applies the platform's list to the draft: new, absent, removed and rebooted VMs. */
void applyVmList(fleet_draft &draft);

/** Sets serving VMs of zones that are out to probing, so that they return gradually later. */
void withdrawOutZones(fleet_draft &draft);

/** Advances every drain, reboot and probe in progress to its next state if it is due. */
void advanceVms(fleet_draft &draft);

/** Starts, pauses, resumes and ends waves. */
void updateWaves(fleet_draft &draft);

/** Starts drains of VMs for the waves, within the availability budgets. */
void drainForWaves(fleet_draft &draft);

/** Applies the operators' orders to move VMs. */
void applyMoveOrders(fleet_draft &draft);

/** Grows and shrinks pools toward their target sizes. */
void resizePools(fleet_draft &draft);

/** Records the result of a VM's maintenance in the VM and in the progress of its wave. */
void finishMaintenance(fleet_draft &draft, wire::fleet_vm &vm, bool isFailed);

/** Returns whether the VM is healthy and out of service only because its zone is out. */
[[nodiscard]] bool isWithheldByZone(fleet_draft &draft, const wire::fleet_vm &vm);

/**
 * Starts a move to another pool. An idle VM of the spare pool moves at once; any other is drained
 * first. Returns false if a budget does not allow it.
 */
[[nodiscard]] bool startMove(fleet_draft &draft, wire::fleet_vm &vm, const std::string &pool,
                             std::string_view reason);

/** Moves one available spare VM to the pool. Returns false if none can be moved. */
[[nodiscard]] bool assignSpareVm(fleet_draft &draft, const std::string &pool,
                                 std::string_view reason);

/** Returns the pool's target size from the document, clamped to its configured limits. */
[[nodiscard]] std::uint32_t targetSize(const fleet_draft &draft, const wire::pool &pool);

/** Returns the time for which a pool must differ from its target size, by the operators' weight of
    moves. */
[[nodiscard]] duration resizeDelay(const fleet_draft &draft);

/** Returns the pool for a new VM: the one with the largest deficit, otherwise the spare pool, or an
    empty name if there is neither. */
[[nodiscard]] std::string choosePoolForNewVm(fleet_draft &draft);

} // namespace azurelb
