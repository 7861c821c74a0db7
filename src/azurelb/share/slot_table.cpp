#include <azurelb/share/slot_table.hpp>

#include <algorithm>

namespace azurelb {

bool slot_table::canStart(const slot_state &slot, time_point now) const noexcept
{
    return !slot.isBusy && slot.isAssigned && slot.upstream->isEligible
        && slot.cooldownUntil <= now;
}

slot_table::upstream_state &slot_table::findUpstream(const vm_id &vm)
{
    upstream_state &found = m_upstreams[vm];
    found.vm.vm = vm;
    found.outcomes.vm = vm;
    return found;
}

template <typename Predicate>
bool slot_table::dropIf(Predicate dropped)
{
    const auto isDropped = [this, &dropped](const slot_state &slot) {
        if (slot.isBusy || !dropped(slot))
            return false;
        m_returnedSlots.insert(slot.id);
        return true;
    };
    return std::erase_if(m_slots, isDropped) > 0;
}

void slot_table::pruneUpstreams()
{
    std::erase_if(m_upstreams, [this](const auto &entry) {
        const upstream_state &each = entry.second;
        return !each.isEligible
            && std::none_of(m_slots.begin(), m_slots.end(),
                            [&each](const slot_state &slot) { return slot.upstream == &each; });
    });
}

void slot_table::setUpstreams(std::span<const upstream_vm> eligible)
{
    for (auto &[vm, each] : m_upstreams)
        each.isEligible = false;
    for (const upstream_vm &vm : eligible) {
        upstream_state &each = findUpstream(vm.vm);
        each.vm = vm;
        each.isEligible = true;
    }
    pruneUpstreams();
}

bool slot_table::assign(std::span<const assigned_slot> slots)
{
    std::unordered_set<slot_id> known;
    for (slot_state &slot : m_slots) {
        slot.isAssigned = false;
        known.insert(slot.id);
    }
    std::unordered_set<slot_id> assigned;
    bool changed = false;
    for (const assigned_slot &each : slots) {
        assigned.insert(each.id);
        if (m_returnedSlots.contains(each.id) || known.contains(each.id))
            continue;
        slot_state added;
        added.id = each.id;
        added.upstream = &findUpstream(each.vm);
        m_slots.push_back(added);
        changed = true;
    }
    for (slot_state &slot : m_slots) {
        slot.isAssigned = assigned.contains(slot.id);
        changed = changed || !slot.isAssigned;
    }
    std::erase_if(m_returnedSlots, [&assigned](slot_id id) { return !assigned.contains(id); });
    return changed;
}

bool slot_table::avoidsAll(const std::set<vm_id> &avoid) const
{
    return std::all_of(m_upstreams.begin(), m_upstreams.end(), [&avoid](const auto &entry) {
        return !entry.second.isEligible || avoid.contains(entry.first);
    });
}

const slot_table::slot_state *slot_table::findIdle(const std::set<vm_id> &avoid,
                                                   time_point now) const
{
    if (m_busy == m_slots.size())
        return nullptr;
    const bool avoids = !avoid.empty() && !avoidsAll(avoid);
    const slot_state *best = nullptr;
    for (const slot_state &slot : m_slots) {
        if (!canStart(slot, now) || (avoids && avoid.contains(slot.upstream->vm.vm)))
            continue;
        const bool isBetter = !best || slot.upstream->busy < best->upstream->busy
            || (slot.upstream->busy == best->upstream->busy && slot.lastUsed < best->lastUsed);
        if (isBetter)
            best = &slot;
    }
    return best;
}

bool slot_table::canStart(const std::set<vm_id> &avoid, time_point now) const
{
    return findIdle(avoid, now) != nullptr;
}

const upstream_vm *slot_table::start(const std::set<vm_id> &avoid, time_point now, slot_id &taken)
{
    auto *found = const_cast<slot_state *>(findIdle(avoid, now));
    if (!found)
        return nullptr;
    found->isBusy = true;
    found->lastUsed = now;
    ++found->upstream->busy;
    ++m_busy;
    taken = found->id;
    return &found->upstream->vm;
}

void slot_table::finish(slot_id slot, attempt_outcome outcome, time_point now,
                        time_point cooldownUntil, std::uint64_t sequence)
{
    static constexpr std::uint64_t outcome_count::*counters[]{
        &outcome_count::answered, &outcome_count::failed, &outcome_count::refused};
    const auto found = std::find_if(m_slots.begin(), m_slots.end(),
                                    [slot](const slot_state &each) { return each.id == slot; });
    if (found == m_slots.end())
        return;
    found->isBusy = false;
    found->lastUsed = now;
    found->cooldownUntil = cooldownUntil;
    --found->upstream->busy;
    --m_busy;
    const auto index = static_cast<std::size_t>(outcome);
    if (index >= std::size(counters))
        return;
    ++(found->upstream->outcomes.*counters[index]);
    found->upstream->changedSequence = sequence;
}

bool slot_table::dropRecalled()
{
    return dropIf([](const slot_state &slot) { return !slot.isAssigned; });
}

bool slot_table::dropIdle(time_point now)
{
    return dropIf([this, now](const slot_state &slot) { return canStart(slot, now); });
}

bool slot_table::dropIdle(const std::set<vm_id> &avoided)
{
    return dropIf([&avoided](const slot_state &slot) {
        return slot.isAssigned && avoided.contains(slot.upstream->vm.vm);
    });
}

bool slot_table::drop(slot_id slot)
{
    return dropIf([slot](const slot_state &each) { return each.id == slot; });
}

void slot_table::fillReport(slot_report &report, std::uint64_t acknowledged) const
{
    for (const slot_state &slot : m_slots)
        report.slots.push_back({slot.id, slot.upstream->vm.vm, slot.isBusy});
    for (const auto &[vm, each] : m_upstreams) {
        if (each.changedSequence > acknowledged)
            report.outcomes.push_back(each.outcomes);
    }
}

bool slot_table::hasUpstream() const noexcept
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [](const auto &entry) { return entry.second.isEligible; });
}

} // namespace azurelb
