#pragma once

#include <azurelb/share/circuit_breaker.hpp>
#include <azurelb/share/dispatch_plan.hpp>
#include <azurelb/upstream/upstream_vm.hpp>

#include <map>
#include <set>
#include <unordered_map>

namespace azurelb {

/**
 * Assigns the executor slots of one pool to the daemons. Its state is built from the daemons'
 * reports alone, so that any daemon can take over: a new dispatcher queries the daemons that report
 * to it, and assigns nothing before all have answered or a timeout has passed.
 */
class dispatcher
{
    struct upstream_state
    {
        upstream_vm vm{};
        bool isEligible{};
        circuit_breaker breaker{};
        std::uint32_t capacity{};
        /** Slots that daemons hold, recalled ones included; `assigned` leaves those out. */
        std::uint32_t held{};
        std::uint32_t assigned{};
    };

    struct slot_state
    {
        slot_id id{};
        upstream_state *upstream{};
        /** Sequence of the first assignment that contains the slot; 0 if a report added it. */
        std::uint64_t sequence{};
        bool isAssigned{true};
        bool isBusy{};
    };

    struct daemon_state
    {
        member id{};
        std::uint64_t term{};
        std::uint64_t reportSequence{};
        std::chrono::microseconds reportSentAt{};
        std::uint64_t acknowledged{};
        /** Sequence of the query that voids earlier assignments; 0 if none was sent. */
        std::uint64_t querySequence{};
        bool isSynchronised{};
        bool isReplyDue{};
        bool isUrgent{};
        bool wasContended{};
        std::uint64_t changedSequence{};
        time_point lastHeard{};
        time_point lastSent{};
        std::vector<slot_state> slots{};
        std::set<vm_id> avoid{};
        std::vector<outcome_count> outcomes{};
        /** Slot time that the daemon is behind its target; negative if it is ahead. */
        double lagSlotSeconds{};
        double wantedSlots{};
    };

    using size_type = std::size_t;

    /** Number of slots that one daemon holds on each upstream. */
    using held_counts = std::unordered_map<const upstream_state *, std::uint32_t>;

    daemon_state &findDaemon(const member &from, time_point now);
    void beginTerm(daemon_state &daemon, std::uint64_t term);
    /** Queries all daemons for their state again, after this process may have been paused. */
    void synchronise(time_point now);
    void applySlots(daemon_state &daemon, const slot_report &report);
    void applyOutcomes(daemon_state &daemon, const slot_report &report, time_point now);
    void removeExpired(time_point now);
    [[nodiscard]] bool isReady(time_point now);
    void updateSlotCounts(time_point now);
    void updatePresence(time_point now);
    [[nodiscard]] double usableCapacity(time_point now) const;
    void updatePlan(time_point now);
    void recallExcess();
    void setWantedSlots(time_point now);
    void roundWantedSlots();
    void recall(slot_state &slot, daemon_state &daemon);
    /** Recalls idle slots while more slots are held than the upstream's capacity. */
    void recallIdle(upstream_state &upstream);
    /** Recalls slots, busy ones too, while more are assigned than the upstream's capacity. */
    void recallBusy(upstream_state &upstream);
    [[nodiscard]] static double missingSlots(const daemon_state &daemon) noexcept;
    [[nodiscard]] double slotShortage() const;
    [[nodiscard]] bool isUnresponsive(const daemon_state &daemon, time_point now) const noexcept;
    [[nodiscard]] bool isMember(const member &id) const noexcept;
    void assignFree();
    bool assignOne(daemon_state &daemon);
    [[nodiscard]] bool canAvoid(const daemon_state &daemon) const;
    [[nodiscard]] static bool isLessUrgent(const daemon_state *left, const daemon_state *right);
    /** Recalls a slot of any daemon on an upstream that this daemon need not avoid. */
    void recallForAvoidance(const daemon_state &daemon);
    void recallForWaiting();
    bool recallOne(daemon_state &daemon);
    [[nodiscard]] upstream_state *chooseUpstream(const daemon_state &daemon, bool isAvoiding);
    [[nodiscard]] static held_counts countHeld(const daemon_state &daemon);
    [[nodiscard]] static size_type countAssigned(const daemon_state &daemon) noexcept;
    [[nodiscard]] bool isDue(const daemon_state &daemon, time_point now) const;
    [[nodiscard]] slot_assignment makeAssignment(size_type index, time_point now);

public:
    /**
     * Slot ids and assignment sequences start at the given numbers. Slot ids must be unique over
     * the fleet; sequences must exceed those of earlier dispatchers of the process.
     */
    dispatcher(const share_options &options, std::uint64_t firstSlot, std::uint64_t firstSequence,
               time_point now);

    /** Sets the live daemons: only these get idle slots, and their first reports are awaited. */
    void setMembers(std::span<const member> members);

    /** Sets the upstreams that may get new work. */
    void setUpstreams(std::span<const upstream_vm> eligible);

    void setShares(std::span<const team_share> shares) { m_plan.setShares(shares); }

    /** Applies a daemon's report; reports older than the newest one are ignored. */
    void apply(const member &from, const slot_report &report, time_point now);

    /** Assigns and recalls slots and returns the assignments to send now. */
    [[nodiscard]] std::vector<addressed_assignment> poll(time_point now);

    /** Returns true if the assignments do not reflect the newest changes yet. */
    [[nodiscard]] bool isPending() const noexcept { return m_isChanged; }

    /** Returns the number of upstreams whose circuit is open or half-open. */
    [[nodiscard]] size_type openCircuits() const;

    /** Returns the number of slots that daemons hold, recalled ones included. */
    [[nodiscard]] size_type held() const;

    /** Returns the number of slots that may be assigned. */
    [[nodiscard]] size_type capacity() const;

    [[nodiscard]] const dispatch_plan &plan() const noexcept { return m_plan; }

private:
    const share_options &m_options;
    dispatch_plan m_plan;
    std::vector<daemon_state> m_daemons{};
    std::map<vm_id, upstream_state> m_upstreams{};
    std::vector<member> m_members{};
    std::uint64_t m_nextSlot;
    std::uint64_t m_sequence;
    time_point m_startedAt;
    time_point m_lastPoll;
    time_point m_lastPlan{};
    bool m_isReady{false};
    bool m_isChanged{true};
};

} // namespace azurelb
