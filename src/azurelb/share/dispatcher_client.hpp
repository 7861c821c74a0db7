#pragma once

#include <azurelb/share/fair_queue.hpp>
#include <azurelb/share/slot_table.hpp>
#include <azurelb/share/ticket_grant.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Client of a pool's dispatcher on one daemon: keeps the waiting requests, the slots that the
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
    /** Lease ids start at `firstLease` and must be unique over the fleet. */
    dispatcher_client(const share_options &options, rights_broker &rights,
                      std::uint64_t firstLease);

    /** Adds a request; a later takeGrants() returns its grant or refusal. */
    void request(ticket_id ticket, const slot_request &wanted, time_point now);

    /** Removes a waiting request; returns false if it does not wait. */
    bool cancel(ticket_id ticket);

    /** Ends the use of a slot; returns false if there is no such lease. */
    bool release(lease_id lease, attempt_outcome outcome, time_point now);

    /** Sets the upstreams that may get new work. */
    void setUpstreams(std::span<const upstream_vm> eligible, time_point now);

    /** Sets whether this daemon's documents are recent enough to start work. */
    void setConfirmed(bool isConfirmed) noexcept { m_isConfirmed = isConfirmed; }

    /** Starts a new term with another dispatcher; assignments of earlier terms are ignored. */
    void changeDispatcher();

    /** Applies an assignment; one of another term or an older one is ignored. */
    void apply(const slot_assignment &assignment, time_point now);

    /** Starts and refuses waiting requests and returns unneeded slots. Call it after changes. */
    void poll(time_point now);

    /** Returns the grants and refusals since the previous call. */
    [[nodiscard]] std::vector<ticket_grant> takeGrants();

    /** Returns the report to send now, if one is due. */
    [[nodiscard]] std::optional<slot_report> takeReport(time_point now);

    /** Returns true if the next report is urgent. */
    [[nodiscard]] bool isUrgent() const noexcept { return m_isUrgent; }

    /** Acquires rights for waiting requests; call it when rights may have become free. */
    void acquireRights() { m_queue.acquireRights(); }

    /** Refuses new requests; waiting and running ones continue. */
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
    /** Idle slots were returned because waiting requests avoid their upstreams. */
    bool m_isAvoidingIdleSlots{false};
};

} // namespace azurelb
