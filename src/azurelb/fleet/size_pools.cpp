#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/staffing.hpp>
#include <azurelb/fleet/strategies.hpp>
#include <azurelb/wire/config.pb.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_set>

namespace azurelb {

namespace {

constexpr std::uint32_t slotsOfVm = 8;
constexpr std::uint32_t mostPreference = 10;

std::size_t countZones(const fleet_draft &draft)
{
    std::unordered_set<std::string_view> zones;
    for (const wire::fleet_vm &vm : draft.document().vms())
        zones.insert(vm.zone());
    return zones.size();
}

/** From 1 up to the factor that makes up for the loss of one zone, by the operators' weights. */
double outageFactor(const fleet_draft &draft)
{
    const wire::preference &weights = draft.input().config.preferences();
    const auto zones = static_cast<double>(countZones(draft));
    if (zones < 2 || weights.outage_work() <= weights.buffer_cost())
        return 1.0;
    const double part =
        static_cast<double>(weights.outage_work() - weights.buffer_cost()) / mostPreference;
    return 1.0 + part / (zones - 1);
}

/** Slots that the pool's queues need for their targets; nothing if no demand is known. */
std::optional<std::uint32_t> slotsOfPool(fleet_draft &draft, const wire::pool &pool)
{
    std::optional<std::uint32_t> slots;
    for (const wire::queue &queue : draft.input().config.queues()) {
        const auto demand = draft.memory().demand().find(queue.name());
        if (queue.pool() != pool.name() || !demand)
            continue;
        slots = slots.value_or(0)
            + slotsFor(demand->load, demand->runTime,
                       std::chrono::milliseconds{queue.target().wait_ms()},
                       queue.target().percentile());
    }
    return slots;
}

wire::pool_size &sizeOf(wire::fleet_document &document, const std::string &pool)
{
    for (wire::pool_size &size : *document.mutable_sizes()) {
        if (size.pool() == pool)
            return size;
    }
    wire::pool_size &added = *document.add_sizes();
    added.set_pool(pool);
    return added;
}

/** A new size counts only once the demand has asked for it for the dwell time without a break. */
void want(fleet_draft &draft, const wire::pool &pool)
{
    const auto slots = slotsOfPool(draft, pool);
    if (!slots)
        return;
    const double needed = std::ceil(*slots * outageFactor(draft) / slotsOfVm);
    const std::uint32_t most = std::max(pool.minimum_vms(), pool.maximum_vms());
    const auto vms = std::clamp(static_cast<std::uint32_t>(needed), pool.minimum_vms(), most);
    const bool isNew = vms != wantedSize(draft, pool);
    if (!draft.memory().lasts("want " + pool.name(), isNew, sizingDwell(draft)))
        return;
    wire::pool_size &size = sizeOf(draft.change(), pool.name());
    size.set_wanted_vms(vms);
    size.set_since_ms(draft.wallMs());
    size.set_reason(std::to_string(*slots) + " slots for the targets of its queues");
    draft.record("size", pool.name(), std::to_string(vms) + " VMs: " + size.reason());
}

/** True if the bound on moves an hour leaves room for one more. */
bool mayMove(fleet_draft &draft)
{
    const wire::preference &weights = draft.input().config.preferences();
    const std::uint32_t reduced = std::min(weights.moves(), mostPreference);
    const std::uint32_t most = std::max(draft.options().movesAnHour, reduced + 2) - reduced;
    return static_cast<std::uint32_t>(draft.document().recent_moves_ms_size()) < most;
}

void forgetOldMoves(fleet_draft &draft)
{
    const auto isOld = [&draft](std::uint64_t at) {
        constexpr std::uint64_t hourMs = 3'600'000;
        return at + hourMs < draft.wallMs();
    };
    const auto &moves = draft.document().recent_moves_ms();
    if (std::none_of(moves.begin(), moves.end(), isOld))
        return;
    auto &kept = *draft.change().mutable_recent_moves_ms();
    kept.erase(std::remove_if(kept.begin(), kept.end(), isOld), kept.end());
}

void refill(fleet_draft &draft, const wire::pool &pool)
{
    while (true) {
        const pool_count &count = draft.counts().find(pool.name());
        const bool isShort = count.available + count.probing < pool.minimum_vms();
        if (!isShort || !takeSpare(draft, pool.name(), "the pool is below its minimum"))
            return;
    }
}

void grow(fleet_draft &draft, const wire::pool &pool)
{
    const pool_count &count = draft.counts().find(pool.name());
    const bool isShort = count.available + count.probing + count.planned < wantedSize(draft, pool);
    const bool isLasting = draft.memory().lasts("grow " + pool.name(), isShort, sizingDwell(draft));
    if (isLasting && mayMove(draft))
        (void)takeSpare(draft, pool.name(), "the pool is below the size wanted");
}

wire::fleet_vm *findSurplus(fleet_draft &draft, const std::string &pool)
{
    wire::fleet_vm *best = nullptr;
    std::uint32_t bestCount = 0;
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        if (vm.pool() != pool || !draft.counts().isAvailable(vm))
            continue;
        const std::uint32_t inZone = draft.counts().find(pool).zones.at(vm.zone()).available;
        if (draft.counts().canTakeOut(vm) && inZone > bestCount) {
            best = &vm;
            bestCount = inZone;
        }
    }
    return best;
}

void shrink(fleet_draft &draft, const wire::pool &pool)
{
    const pool_count &count = draft.counts().find(pool.name());
    const bool isOver = draft.sparePool() && count.available > wantedSize(draft, pool);
    if (!draft.memory().lasts("shrink " + pool.name(), isOver, sizingDwell(draft)))
        return;
    wire::fleet_vm *vm = mayMove(draft) ? findSurplus(draft, pool.name()) : nullptr;
    if (vm)
        (void)startMove(draft, *vm, draft.sparePool()->name(), "the pool is above the size wanted");
}

} // namespace

duration sizingDwell(const fleet_draft &draft)
{
    const std::uint32_t moves =
        std::min(draft.input().config.preferences().moves(), mostPreference);
    return draft.options().sizingDwell * (mostPreference + 2 * moves) / mostPreference;
}

std::uint32_t wantedSize(const fleet_draft &draft, const wire::pool &pool)
{
    const auto &sizes = draft.document().sizes();
    const auto found = std::find_if(sizes.begin(), sizes.end(), [&pool](const auto &size) {
        return size.pool() == pool.name();
    });
    const std::uint32_t wanted = found == sizes.end() ? 0 : found->wanted_vms();
    const std::uint32_t most = std::max(pool.minimum_vms(), pool.maximum_vms());
    return std::clamp(wanted, pool.minimum_vms(), most);
}

void sizePools(fleet_draft &draft)
{
    forgetOldMoves(draft);
    for (const wire::pool &pool : draft.input().config.pools()) {
        if (pool.spare())
            continue;
        want(draft, pool);
        refill(draft, pool);
        grow(draft, pool);
        shrink(draft, pool);
    }
}

} // namespace azurelb
