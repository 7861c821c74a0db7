#pragma once

#include <azurelb/share/slot_assignment.hpp>
#include <azurelb/share/slot_report.hpp>
#include <azurelb/upstream/attempt_outcome.hpp>
#include <azurelb/upstream/upstream_vm.hpp>

#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace azurelb {

/** The slots that one daemon holds in one pool, and what it has seen of their upstreams. */
class slot_table
{
    struct upstream_state
    {
        upstream_vm vm{};
        bool isEligible{};
        std::uint32_t busy{};
        outcome_count outcomes{};
        std::uint64_t changedSequence{};
    };

    struct slot_state
    {
        slot_id id{};
        upstream_state *upstream{};
        bool isBusy{};
        bool isAssigned{};
        time_point cooldownUntil{};
        time_point lastUsed{};
    };

    [[nodiscard]] bool canStart(const slot_state &slot, time_point now) const noexcept;
    [[nodiscard]] upstream_state &findUpstream(const vm_id &vm);
    template <typename Predicate>
    bool dropIf(Predicate dropped);
    void pruneUpstreams();

public:
    using size_type = std::size_t;

    /** Sets the upstreams that may get new work; nothing starts on others. */
    void setUpstreams(std::span<const upstream_vm> eligible);

    /** Replaces the assigned slots; true if any was added or removed. */
    bool assign(std::span<const assigned_slot> slots);

    /** Takes a slot for a request that must avoid these upstreams; null if none is idle. */
    [[nodiscard]] const upstream_vm *start(const std::set<vm_id> &avoid, time_point now,
                                           slot_id &taken);

    /** True if start() would find a slot. */
    [[nodiscard]] bool canStart(const std::set<vm_id> &avoid, time_point now) const;

    /**
     * Ends the use of a slot. It rests until the given time. The outcome is part of all reports
     * that are made with the sequence given or a later one.
     */
    void finish(slot_id slot, attempt_outcome outcome, time_point now, time_point cooldownUntil,
                std::uint64_t sequence);

    /** Gives up idle slots that are recalled; true if there were any. */
    bool dropRecalled();

    /** Gives up all idle slots that could start a request now; true if there were any. */
    bool dropIdle(time_point now);

    /** Gives up idle slots of these upstreams; true if there were any. */
    bool dropIdle(const std::set<vm_id> &avoided);

    /** Gives up this slot if it is idle. */
    bool drop(slot_id slot);

    /** Adds the slots held and the outcomes that changed after the acknowledged report. */
    void fillReport(slot_report &report, std::uint64_t acknowledged) const;

    [[nodiscard]] bool hasUpstream() const noexcept;

    [[nodiscard]] size_type size() const noexcept { return m_slots.size(); }

    /** Slots in use. */
    [[nodiscard]] size_type busy() const noexcept { return m_busy; }

private:
    [[nodiscard]] bool avoidsAll(const std::set<vm_id> &avoid) const;
    [[nodiscard]] const slot_state *findIdle(const std::set<vm_id> &avoid, time_point now) const;

    std::map<vm_id, upstream_state> m_upstreams{};
    std::vector<slot_state> m_slots{};
    std::unordered_set<slot_id> m_returnedSlots{};
    size_type m_busy{0};
};

} // namespace azurelb
