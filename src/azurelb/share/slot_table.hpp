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

/** Slots that one daemon holds in one pool, and the outcomes of attempts at their upstreams. */
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

    /** Sets the upstreams that may get new work; no request starts on others. */
    void setUpstreams(std::span<const upstream_vm> eligible);

    /** Replaces the assigned slots; returns true if a slot was added or is recalled. */
    bool assign(std::span<const assigned_slot> slots);

    /**
     * Occupies an idle slot for a request that avoids these upstreams and returns its upstream;
     * null if there is none. The avoidance is ignored if it covers all eligible upstreams.
     */
    [[nodiscard]] const upstream_vm *start(const std::set<vm_id> &avoid, time_point now,
                                           slot_id &taken);

    /** Returns true if start() would find a slot. */
    [[nodiscard]] bool canStart(const std::set<vm_id> &avoid, time_point now) const;

    /**
     * Ends the use of a slot, on which nothing starts before `cooldownUntil`. Reports contain the
     * outcome until one with the given sequence or a later one is acknowledged.
     */
    void finish(slot_id slot, attempt_outcome outcome, time_point now, time_point cooldownUntil,
                std::uint64_t sequence);

    /** Removes recalled idle slots; returns true if there were any. */
    bool dropRecalled();

    /** Removes idle slots on which a request could start now; returns true if there were any. */
    bool dropIdle(time_point now);

    /** Removes idle slots of these upstreams; returns true if there were any. */
    bool dropIdle(const std::set<vm_id> &avoided);

    /** Removes the slot if it is idle; returns true if it did. */
    bool drop(slot_id slot);

    /** Adds the held slots and the outcomes that changed after the acknowledged report. */
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
