#include <azurelb/share/dispatcher_client.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

namespace {

using namespace std::chrono_literals;

constexpr duration minCooldown{20ms};
constexpr duration maxCooldown{1s};

[[nodiscard]] std::chrono::microseconds toMicroseconds(time_point at)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch());
}

} // namespace

dispatcher_client::dispatcher_client(const share_options &options, rights_broker &rights,
                                     std::uint64_t firstLease)
    : m_options{options}
    , m_queue{options, rights}
    , m_nextLease{firstLease}
{ }

void dispatcher_client::refuse(ticket_id ticket, slot_refusal refusal, duration retryAfter)
{
    slot_grant grant;
    grant.refusal = refusal;
    grant.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
    m_grants.push_back({ticket, std::move(grant)});
}

void dispatcher_client::refuseAll(slot_refusal refusal)
{
    for (const ticket_id ticket : m_queue.clear())
        refuse(ticket, refusal, m_queue.meanRun());
}

void dispatcher_client::request(ticket_id ticket, const slot_request &wanted, time_point now)
{
    m_isChanged = true;
    if (m_isStopping)
        return refuse(ticket, slot_refusal::stopping);
    const duration wait = m_isContended ? m_queue.expectedWait(wanted.team) : duration{};
    const duration left = wanted.deadline - now;
    if (left <= wait)
        return refuse(ticket, slot_refusal::late, std::max(wait - left, m_queue.meanRun()));
    if (!m_queue.emplace(ticket, wanted, now))
        refuse(ticket, slot_refusal::full, m_queue.expectedWait(wanted.team));
}

bool dispatcher_client::cancel(ticket_id ticket)
{
    m_isChanged = true;
    return m_queue.erase(ticket);
}

time_point dispatcher_client::cooldownUntil(const lease_state &lease, attempt_outcome outcome,
                                            time_point now) const
{
    if (!m_options.usesCircuitBreakers)
        return now;
    if (outcome == attempt_outcome::refused)
        return now + minCooldown;
    if (outcome != attempt_outcome::failed)
        return now;
    const duration usual = std::min(m_queue.meanRun(), maxCooldown);
    return std::max(lease.startedAt + usual, now + minCooldown);
}

bool dispatcher_client::release(lease_id id, attempt_outcome outcome, time_point now)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return false;
    const lease_state lease = found->second;
    m_leases.erase(found);
    const time_point cooldownEnd = cooldownUntil(lease, outcome, now);
    m_slots.finish(lease.slot, outcome, now, cooldownEnd, m_sequence + 1);
    m_queue.finish(lease.team, now - lease.startedAt, lease.startedAt);
    m_isChanged = true;
    if (outcome == attempt_outcome::failed || outcome == attempt_outcome::refused)
        markUrgent();
    if (!m_options.reusesSlots && m_slots.drop(lease.slot))
        markUrgent();
    return true;
}

void dispatcher_client::setUpstreams(std::span<const upstream_vm> eligible, time_point now)
{
    m_slots.setUpstreams(eligible);
    if (!eligible.empty())
        m_noUpstreamSince = time_point::max();
    else
        m_noUpstreamSince = std::min(m_noUpstreamSince, now);
}

void dispatcher_client::changeDispatcher()
{
    ++m_term;
    m_appliedAssignment = 0;
    m_acknowledgedReport = 0;
    markUrgent();
}

void dispatcher_client::apply(const slot_assignment &assignment, time_point now)
{
    if (assignment.term != m_term || assignment.sequence <= m_appliedAssignment)
        return;
    m_appliedAssignment = assignment.sequence;
    m_acknowledgedReport = std::max(m_acknowledgedReport, assignment.acknowledged);
    if (assignment.isQuery) {
        markUrgent();
        return;
    }
    const time_point sentAt{assignment.reportSentAt};
    m_startUntil = std::max(m_startUntil, sentAt + m_options.leaseTime);
    m_isContended = assignment.isContended;
    m_queue.setWeights(assignment.weights);
    if (m_slots.assign(assignment.slots))
        markUrgent();
    poll(now);
}

bool dispatcher_client::mayStart(time_point now) const noexcept
{
    return m_isConfirmed && now < m_startUntil;
}

bool dispatcher_client::startNext(time_point now)
{
    std::set<vm_id> avoid;
    const auto canRun = [this, now, &avoid](const std::set<vm_id> &avoided) {
        avoid = avoided;
        return m_slots.canStart(avoid, now);
    };
    const auto next = m_queue.pop(canRun, now);
    if (!next)
        return false;
    slot_id slot{};
    const upstream_vm *upstream = m_slots.start(avoid, now, slot);
    const lease_id id{m_nextLease++};
    m_leases.emplace(id, lease_state{slot, next->team, now});
    slot_grant grant;
    grant.lease = id;
    grant.upstream = *upstream;
    m_grants.push_back({next->id, std::move(grant)});
    m_isChanged = true;
    m_isAvoidingIdleSlots = false;
    return true;
}

void dispatcher_client::returnIdle(time_point now)
{
    bool dropped = m_slots.dropRecalled();
    if (!m_isConfirmed || m_queue.backed() == 0) {
        const bool isWanted = m_isConfirmed && !m_isContended;
        dropped = (!isWanted && m_slots.dropIdle(now)) || dropped;
    } else if (const auto *avoided = m_queue.firstAvoided(); avoided && mayStart(now)) {
        const bool isUseless = m_slots.dropIdle(*avoided);
        m_isAvoidingIdleSlots = m_isAvoidingIdleSlots || isUseless;
        dropped = dropped || isUseless;
    }
    m_isAvoidingIdleSlots = m_isAvoidingIdleSlots && m_queue.backed() > 0;
    if (dropped)
        markUrgent();
}

void dispatcher_client::expire(time_point now)
{
    if (now - m_lastExpiry < m_options.urgentInterval)
        return;
    m_lastExpiry = now;
    const slot_refusal reason = m_isConfirmed ? slot_refusal::late : slot_refusal::unconfirmed;
    for (const ticket_id ticket : m_queue.expire(now))
        refuse(ticket, reason, m_queue.meanRun());
    if (m_noUpstreamSince != time_point::max()
        && now - m_noUpstreamSince >= m_options.noUpstreamGrace)
        refuseAll(slot_refusal::no_upstream);
}

void dispatcher_client::poll(time_point now)
{
    expire(now);
    while (m_queue.waiting() > 0 && mayStart(now) && startNext(now)) {
    }
    returnIdle(now);
    const bool isWaiting = m_isConfirmed && m_queue.backed() > 0;
    if (isWaiting != m_wasWaiting)
        markUrgent();
    m_wasWaiting = isWaiting;
}

std::vector<ticket_grant> dispatcher_client::takeGrants()
{
    return std::exchange(m_grants, {});
}

bool dispatcher_client::isReportDue(time_point now) const noexcept
{
    const duration since = now - m_lastReport;
    const bool isUnanswered = m_replyWantedSequence > m_acknowledgedReport;
    return (m_isUrgent && since >= m_options.urgentInterval)
        || (m_isChanged && since >= m_options.routineInterval)
        || (isUnanswered && since >= m_options.retransmissionInterval)
        || since >= m_options.heartbeatInterval;
}

std::optional<slot_report> dispatcher_client::takeReport(time_point now)
{
    if (!isReportDue(now))
        return std::nullopt;
    slot_report report;
    report.term = m_term;
    report.sequence = ++m_sequence;
    report.acknowledged = m_appliedAssignment;
    report.sentAt = toMicroseconds(now);
    report.isReplyWanted = m_isUrgent || m_replyWantedSequence > m_acknowledgedReport;
    report.teams = m_queue.loads(now);
    for (team_load &load : report.teams) {
        load.backed = m_isConfirmed ? load.backed : 0;
        load.waiting = m_isConfirmed ? load.waiting : 0;
    }
    m_slots.fillReport(report, m_acknowledgedReport);
    if (const auto *avoided = m_isAvoidingIdleSlots ? m_queue.firstAvoided() : nullptr)
        report.avoid.assign(avoided->begin(), avoided->end());
    if (m_isUrgent || m_replyWantedSequence > m_acknowledgedReport)
        m_replyWantedSequence = m_sequence;
    m_isUrgent = false;
    m_isChanged = false;
    m_lastReport = now;
    return report;
}

} // namespace azurelb
