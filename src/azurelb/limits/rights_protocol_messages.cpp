#include <azurelb/limits/rights_protocol.hpp>

#include <azurelb/core/rendezvous.hpp>
#include <azurelb/limits/rights_wire.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace azurelb {

namespace {

using internal::fromWire;
using internal::toWire;

/** True if the load became zero or was zero: all rights can be given, or some are needed. */
bool isLoadSwitched(const holder_report &last, const holder_report &now)
{
    return (last.load == 0) != (now.load == 0);
}

/** True if the load changed by more than one and by more than an eighth. */
bool isLoadChanged(const holder_report &last, const holder_report &now)
{
    constexpr right_count divisor{8};
    return std::abs(now.load - last.load) > std::max<right_count>(1, last.load / divisor);
}

bool isEmpty(const holder_report &report)
{
    return report.holdings == 0 && report.load == 0;
}

} // namespace

void rights_protocol::receive(const member &from, const wire::rights_message &message,
                              time_point now)
{
    if (message.has_document())
        adopt(message.document(), revision{message.revision()});
    m_peers.handleMessage(from, message);
    if (m_account.isFrozen(from)) {
        m_refused.insert(from);
        return;
    }
    handleReports(from, message, now);
    if (message.to() == static_cast<std::uint64_t>(m_account.self().id))
        handleAddressed(from, message, now);
}

void rights_protocol::handleReports(const member &from, const wire::rights_message &message,
                                    time_point now)
{
    for (const wire::rights_report &each : message.reports()) {
        const holder_report report{from, static_cast<right_count>(each.holdings()),
                                   static_cast<right_count>(each.load()), each.sequence()};
        m_balancer.addReport(report, team_name{each.team()}, now);
    }
}

void rights_protocol::handleAddressed(const member &from, const wire::rights_message &message,
                                      time_point now)
{
    rights_peer &peer = m_peers.stateOf(from);
    if (message.nonce() != 0)
        peer.echoDue = message.nonce();
    const bool current =
        message.revision() <= static_cast<std::int64_t>(m_account.documentRevision());
    if (message.echo() != 0 && !message.gone() && current && m_account.isListed(from)) {
        const auto listed = static_cast<std::size_t>(m_document.holders_size());
        m_proof.addEcho(from, message.echo(), message.proved(), listed);
    }
    for (const wire::team_count &each : message.received())
        m_account.acknowledge(from, team_name{each.team()}, each.count());
    for (const wire::team_count &each : message.given()) {
        const team_name team{each.team()};
        m_account.receive(from, team, each.count());
        peer.acknowledgeDue.insert(team);
    }
    for (const wire::rights_order &each : message.orders())
        executeOrder(each, now);
}

void rights_protocol::executeOrder(const wire::rights_order &order, time_point now)
{
    const team_name team{order.team()};
    team_demand &demand = m_demands[team];
    if (order.sequence() != demand.sequence || !isUsable(now))
        return;
    ++demand.sequence;
    demand.pending.clear();
    demand.pendingSince = now;
    for (const wire::rights_part &part : order.parts()) {
        const auto count = static_cast<right_count>(part.count());
        demand.pending.push_back({m_account.self(), fromWire(part.to()), count});
    }
    givePending(team, demand);
}

std::vector<outgoing_rights_message> rights_protocol::tick(time_point now)
{
    if (now - m_updatedAt >= m_options.refreshInterval) {
        m_updatedAt = now;
        m_peers.update(now);
        notifyClosingHolders();
    }
    m_hasUnregistered = !m_peers.unregistered().empty();
    m_proof.update(now);
    advanceDemands(now);
    outbox out;
    addReports(out, now);
    addOrders(out, now);
    for (const member &peer : m_peers.active())
        addPeerMessage(peer, m_peers.stateOf(peer), out, now);
    std::vector<outgoing_rights_message> messages;
    for (auto &[peer, message] : out) {
        addHeader(peer, m_peers.stateOf(peer), message, now);
        messages.push_back({peer, std::move(message)});
    }
    for (const member &peer : std::exchange(m_refused, {}))
        messages.push_back({peer, refusal(peer)});
    return messages;
}

void rights_protocol::notifyClosingHolders()
{
    if (!isCoordinator())
        return;
    for (const member &peer : closingHolders())
        m_refused.insert(peer);
}

wire::rights_message rights_protocol::refusal(const member &peer) const
{
    wire::rights_message message;
    message.set_to(static_cast<std::uint64_t>(peer.id));
    message.set_revision(static_cast<std::int64_t>(m_account.documentRevision()));
    message.set_gone(true);
    *message.mutable_document() = m_document;
    return message;
}

const member &rights_protocol::balancerOf(const team_name &team)
{
    const auto known = m_balancers.find(team);
    if (known != m_balancers.end())
        return known->second;
    std::vector<vm_id> vms;
    for (const member &peer : m_peers.fresh())
        vms.push_back(peer.vm);
    const vm_id &owner = *rendezvousOwner(vms, team.value());
    const auto owns = [&owner](const member &peer) {
        return peer.vm == owner;
    };
    const auto &fresh = m_peers.fresh();
    return m_balancers[team] = *std::find_if(fresh.begin(), fresh.end(), owns);
}

void rights_protocol::advanceDemands(time_point now)
{
    for (const team_name &team : m_account.teams())
        m_demands.try_emplace(team);
    for (auto &[team, demand] : m_demands) {
        demand.peak.advance(now, m_options.peakWindow, m_account.inUse(team));
        if (now - demand.pendingSince > m_options.orderLifetime)
            demand.pending.clear();
        if (isUsable(now))
            givePending(team, demand);
    }
    if (m_leaving && isUsable(now))
        handOverAll();
}

void rights_protocol::addReports(outbox &out, time_point now)
{
    for (auto &[team, demand] : m_demands)
        addReport(team, demand, out, now);
}

void rights_protocol::addReport(const team_name &team, team_demand &demand, outbox &out,
                                time_point now)
{
    const member &balancer = balancerOf(team);
    const holder_report report{m_account.self(), m_account.holdings(team),
                               m_leaving ? 0 : demand.load(), demand.sequence};
    const holder_report &last = demand.reported;
    const bool moved = report.holdings != last.holdings || report.sequence != last.sequence
        || balancer != demand.reportedTo;
    const duration age = now - demand.reportedAt;
    if (moved || isLoadSwitched(last, report))
        demand.reportInterval = m_options.resendInterval;
    else if (isLoadChanged(last, report))
        demand.reportInterval = std::min(demand.reportInterval, m_options.loadReportInterval);
    const bool due = moved || age >= demand.reportInterval || age >= m_options.refreshInterval;
    if (!due || (isEmpty(report) && isEmpty(last)))
        return;
    demand.reportInterval = std::min(2 * demand.reportInterval, m_options.refreshInterval);
    demand.reported = report;
    demand.reportedAt = now;
    demand.reportedTo = balancer;
    if (balancer == m_account.self()) {
        m_balancer.addReport(report, team, now);
        return;
    }
    wire::rights_report &added = *out[balancer].add_reports();
    added.set_team(team.value());
    added.set_holdings(static_cast<std::uint64_t>(report.holdings));
    added.set_load(static_cast<std::uint64_t>(report.load));
    added.set_sequence(report.sequence);
}

void rights_protocol::addOrders(outbox &out, time_point now)
{
    for (const team_name &team : m_balancer.teams()) {
        if (balancerOf(team) != m_account.self()) {
            m_balancer.forget(team);
            continue;
        }
        const auto orders = m_balancer.balance(team, excess(team), m_peers.coordinator(),
                                               m_peers.fresh(), m_options, now);
        for (const auto &[holder, each] : orders) {
            if (holder == m_account.self())
                executeOrder(each, now);
            else
                *out[holder].add_orders() = each;
        }
    }
}

void rights_protocol::addPeerMessage(const member &peer, rights_peer &state, outbox &out,
                                     time_point now)
{
    const duration resend =
        m_peers.isFresh(peer) ? m_options.resendInterval : m_options.refreshInterval;
    if (now - state.givenSent >= resend) {
        const team_counts given = m_account.unacknowledged(peer);
        if (!given.empty()) {
            toWire(given, *out[peer].mutable_given());
            state.givenSent = now;
        }
    }
    for (const team_name &team : state.acknowledgeDue) {
        wire::team_count &added = *out[peer].add_received();
        added.set_team(team.value());
        added.set_count(m_account.received(peer, team));
    }
    state.acknowledgeDue.clear();
    if (isHelloDue(peer, state, now))
        out[peer];
}

bool rights_protocol::isHelloDue(const member &peer, const rights_peer &state, time_point now) const
{
    if (state.echoDue != 0)
        return true;
    const member &coordinator = m_peers.coordinator();
    const bool isCoordinatorLink = peer == coordinator || m_account.self() == coordinator;
    const bool wanted = isCoordinatorLink || m_hasUnregistered
        || m_proof.isUnanswered(now, m_options.refreshInterval);
    return wanted && now - state.helloSent >= m_options.refreshInterval;
}

void rights_protocol::addHeader(const member &peer, rights_peer &state,
                                wire::rights_message &message, time_point now) const
{
    message.set_to(static_cast<std::uint64_t>(peer.id));
    message.set_revision(static_cast<std::int64_t>(m_account.documentRevision()));
    if (state.documentRevision < m_account.documentRevision()
        && now - state.documentSent >= m_options.resendInterval)
    {
        *message.mutable_document() = m_document;
        state.documentSent = now;
    }
    for (const member &each : m_peers.unregistered())
        toWire(each, *message.add_unregistered());
    message.set_nonce(m_proof.nonce());
    message.set_echo(state.echoDue);
    message.set_gone(m_peers.isGone(peer));
    message.set_proved(isUsable(now));
    state.echoDue = 0;
    state.helloSent = now;
    addStatements(message);
}

void rights_protocol::addStatements(wire::rights_message &message) const
{
    for (const member &closed : closingHolders()) {
        wire::rights_statement &statement = *message.add_statements();
        toWire(closed, *statement.mutable_closed());
        toWire(m_account.netGiven(closed), *statement.mutable_net());
    }
}

} // namespace azurelb
