#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/plan_passes.hpp>
#include <azurelb/fleet/slot_sizing.hpp>
#include <azurelb/wire/config.pb.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_set>

namespace azurelb {

namespace {

constexpr std::uint32_t slotsPerVm = 8;
constexpr std::uint32_t maxPreference = 10;

std::size_t countZones(const fleet_draft &draft)
{
    std::unordered_set<std::string_view> zones;
    for (const wire::fleet_vm &vm : draft.document().vms())
        zones.insert(vm.zone());
    return zones.size();
}

/** Returns a factor from 1 up to that which compensates the loss of one zone, by the operators'
    weights. */
double outageFactor(const fleet_draft &draft)
{
    const wire::preference &weights = draft.input().config.preferences();
    const auto zones = static_cast<double>(countZones(draft));
    if (zones < 2 || weights.outage_work() <= weights.buffer_cost())
        return 1.0;
    const double part =
        static_cast<double>(weights.outage_work() - weights.buffer_cost()) / maxPreference;
    return 1.0 + part / (zones - 1);
}

/** Returns the slots that the pool's queues need for their targets, or nothing without demand. */
std::optional<std::uint32_t> requiredSlotsOfPool(fleet_draft &draft, const wire::pool &pool)
{
    std::optional<std::uint32_t> slots;
    for (const wire::queue &queue : draft.input().config.queues()) {
        const auto demand = draft.history().demand().find(queue.name());
        if (queue.pool() != pool.name() || !demand)
            continue;
        slots = slots.value_or(0)
            + requiredSlots(demand->loadErlangs, demand->runTime,
                            std::chrono::milliseconds{queue.target().wait_ms()},
                            queue.target().percentile());
    }
    return slots;
}

wire::pool_size &findOrAddSize(wire::fleet_document &document, const std::string &pool)
{
    for (wire::pool_size &size : *document.mutable_sizes()) {
        if (size.pool() == pool)
            return size;
    }
    wire::pool_size &added = *document.add_sizes();
    added.set_pool(pool);
    return added;
}

/** Sets the target size once the demand has differed from it for resizeDelay without a break. */
void updateTargetSize(fleet_draft &draft, const wire::pool &pool)
{
    const auto slots = requiredSlotsOfPool(draft, pool);
    if (!slots)
        return;
    const double needed = std::ceil(*slots * outageFactor(draft) / slotsPerVm);
    const std::uint32_t most = std::max(pool.minimum_vms(), pool.maximum_vms());
    const auto vms = std::clamp(static_cast<std::uint32_t>(needed), pool.minimum_vms(), most);
    const bool isNew = vms != targetSize(draft, pool);
    if (!draft.history().hasLasted("want " + pool.name(), isNew, resizeDelay(draft)))
        return;
    wire::pool_size &size = findOrAddSize(draft.mutableDocument(), pool.name());
    size.set_wanted_vms(vms);
    size.set_since_ms(draft.wallTimeMs());
    size.set_reason(std::to_string(*slots) + " slots for the targets of its queues");
    draft.addAuditRecord("size", pool.name(), std::to_string(vms) + " VMs: " + size.reason());
}

/** Returns whether the limit on moves per hour allows one more. */
bool hasMoveBudget(fleet_draft &draft)
{
    const wire::preference &weights = draft.input().config.preferences();
    const std::uint32_t reduced = std::min(weights.moves(), maxPreference);
    const std::uint32_t most = std::max(draft.options().maxMovesPerHour, reduced + 2) - reduced;
    return static_cast<std::uint32_t>(draft.document().recent_moves_ms_size()) < most;
}

void removeOldMoves(fleet_draft &draft)
{
    const auto isOld = [&draft](std::uint64_t at) {
        constexpr std::uint64_t hourMs = 3'600'000;
        return at + hourMs < draft.wallTimeMs();
    };
    const auto &moves = draft.document().recent_moves_ms();
    if (std::none_of(moves.begin(), moves.end(), isOld))
        return;
    auto &kept = *draft.mutableDocument().mutable_recent_moves_ms();
    kept.erase(std::remove_if(kept.begin(), kept.end(), isOld), kept.end());
}

void refillToMinimum(fleet_draft &draft, const wire::pool &pool)
{
    while (true) {
        const pool_availability &count = draft.currentAvailability().find(pool.name());
        const bool isShort = count.available + count.probing < pool.minimum_vms();
        if (!isShort || !assignSpareVm(draft, pool.name(), "the pool is below its minimum"))
            return;
    }
}

void growToTarget(fleet_draft &draft, const wire::pool &pool)
{
    const pool_availability &count = draft.currentAvailability().find(pool.name());
    const bool isShort =
        count.available + count.probing + count.plannedOut < targetSize(draft, pool);
    const bool isLasting =
        draft.history().hasLasted("grow " + pool.name(), isShort, resizeDelay(draft));
    if (isLasting && hasMoveBudget(draft))
        (void)assignSpareVm(draft, pool.name(), "the pool is below the size wanted");
}

wire::fleet_vm *findSurplusVm(fleet_draft &draft, const std::string &pool)
{
    wire::fleet_vm *best = nullptr;
    std::uint32_t bestCount = 0;
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        if (vm.pool() != pool || !draft.currentAvailability().isAvailable(vm))
            continue;
        const std::uint32_t inZone =
            draft.currentAvailability().find(pool).zones.at(vm.zone()).available;
        if (draft.currentAvailability().canTakeOut(vm) && inZone > bestCount) {
            best = &vm;
            bestCount = inZone;
        }
    }
    return best;
}

void shrinkToTarget(fleet_draft &draft, const wire::pool &pool)
{
    const pool_availability &count = draft.currentAvailability().find(pool.name());
    const bool isAboveTarget = draft.sparePool() && count.available > targetSize(draft, pool);
    if (!draft.history().hasLasted("shrink " + pool.name(), isAboveTarget, resizeDelay(draft)))
        return;
    wire::fleet_vm *vm = hasMoveBudget(draft) ? findSurplusVm(draft, pool.name()) : nullptr;
    if (vm)
        (void)startMove(draft, *vm, draft.sparePool()->name(), "the pool is above the size wanted");
}

} // namespace

duration resizeDelay(const fleet_draft &draft)
{
    const std::uint32_t moves = std::min(draft.input().config.preferences().moves(), maxPreference);
    return draft.options().resizeDelay * (maxPreference + 2 * moves) / maxPreference;
}

std::uint32_t targetSize(const fleet_draft &draft, const wire::pool &pool)
{
    const auto &sizes = draft.document().sizes();
    const auto found = std::find_if(sizes.begin(), sizes.end(), [&pool](const auto &size) {
        return size.pool() == pool.name();
    });
    const std::uint32_t wanted = found == sizes.end() ? 0 : found->wanted_vms();
    const std::uint32_t most = std::max(pool.minimum_vms(), pool.maximum_vms());
    return std::clamp(wanted, pool.minimum_vms(), most);
}

void resizePools(fleet_draft &draft)
{
    removeOldMoves(draft);
    for (const wire::pool &pool : draft.input().config.pools()) {
        if (pool.spare())
            continue;
        updateTargetSize(draft, pool);
        refillToMinimum(draft, pool);
        growToTarget(draft, pool);
        shrinkToTarget(draft, pool);
    }
}

} // namespace azurelb
