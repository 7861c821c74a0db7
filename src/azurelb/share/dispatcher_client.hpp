#pragma once

#include <azurelb/share/fair_queue.hpp>
#include <azurelb/share/slot_table.hpp>
#include <azurelb/share/ticket_grant.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * One daemon's side of the dispatching of one pool: the waiting requests, the slots that the
 * dispatcher has assigned to this daemon, and the requests that run on them.
 */
class dispatcher_client
{
    struct lease_state
    {
        slot_id slot{};
        team_name team{};
        time_point startedAt{};
    };

    [[nodiscard]] bool mayStart(time_point now) const noexcept;
    bool startNext(time_point now);
    void refuse(ticket_id ticket, slot_refusal refusal, duration retryAfter = {});
    void refuseAll(slot_refusal refusal);
    void returnIdle(time_point now);
    void expire(time_point now);
    void markUrgent() noexcept { m_isUrgent = true; }
    [[nodiscard]] bool isReportDue(time_point now) const noexcept;
    [[nodiscard]] time_point cooldownUntil(const lease_state &lease, attempt_outcome outcome,
                                           time_point now) const;

public:
    /** The first lease has the id given; all ids of one fleet must differ. */
    dispatcher_client(const share_options &options, rights_broker &rights,
                      std::uint64_t firstLease);

    /** Adds a request; its grant or refusal comes from a later takeGrants(). */
    void request(ticket_id ticket, const slot_request &wanted, time_point now);

    /** Ends the wait of a request; false if it does not wait. */
    bool cancel(ticket_id ticket);

    /** Ends the use of a slot; false if there is no such lease. */
    bool release(lease_id lease, attempt_outcome outcome, time_point now);

    /** Upstreams that may get new work. */
    void setUpstreams(std::span<const upstream_vm> eligible, time_point now);

    /** Whether this daemon's documents are recent enough to start work. */
    void setConfirmed(bool isConfirmed) noexcept { m_isConfirmed = isConfirmed; }

    /** Turns to another dispatcher: assignments of the former one no longer count. */
    void changeDispatcher();

    /** Takes an assignment of the present dispatcher. */
    void apply(const slot_assignment &assignment, time_point now);

    /** Starts what can start, refuses what is late, and returns slots. Call it after changes. */
    void poll(time_point now);

    /** Grants and refusals since the last call. */
    [[nodiscard]] std::vector<ticket_grant> takeGrants();

    /** The report to send now, if one is due. */
    [[nodiscard]] std::optional<slot_report> takeReport(time_point now);

    /** True if a report is to go out as soon as the coalescing time has passed. */
    [[nodiscard]] bool isUrgent() const noexcept { return m_isUrgent; }

    /** Takes rights for waiting requests after the limit service may have some to spare. */
    void acquireRights() { m_queue.acquireRights(); }

    /** Takes no new requests; those that wait or run go on. */
    void drain() noexcept { m_isStopping = true; }

    [[nodiscard]] const fair_queue &queue() const noexcept { return m_queue; }

    [[nodiscard]] const slot_table &slots() const noexcept { return m_slots; }

private:
    const share_options &m_options;
    fair_queue m_queue;
    slot_table m_slots{};
    std::unordered_map<lease_id, lease_state> m_leases{};
    std::vector<ticket_grant> m_grants{};
    std::uint64_t m_nextLease;
    std::uint64_t m_term{1};
    std::uint64_t m_sequence{0};
    std::uint64_t m_appliedAssignment{0};
    std::uint64_t m_acknowledgedReport{0};
    std::uint64_t m_replyWantedSequence{0};
    time_point m_lastReport{};
    time_point m_lastExpiry{};
    time_point m_startUntil{};
    time_point m_noUpstreamSince{time_point::max()};
    bool m_isConfirmed{true};
    bool m_isContended{false};
    bool m_isStopping{false};
    bool m_isUrgent{true};
    bool m_isChanged{true};
    bool m_wasWaiting{false};
    /** The waiting requests avoid the upstreams of all idle slots. */
    bool m_isAvoidingIdleSlots{false};
};

} // namespace azurelb
