#include <azurelb/limits/rights_protocol.hpp>

#include <azurelb/limits/document_inputs.hpp>
#include <azurelb/limits/rights_wire.hpp>

#include <algorithm>

namespace azurelb {

rights_protocol::rights_protocol(member self, const rights_options &options,
                                 const departure_source &departures)
    : m_options{options}
    , m_account{std::move(self)}
    , m_peers{m_account, departures, options.replacementDelay}
    , m_proof{options.maxProofAge}
{ }

bool rights_protocol::acquire(const team_name &team, time_point now)
{
    if (m_leaving || !isUsable(now) || freeCount(team) <= 0 || !m_account.acquire(team))
        return false;
    m_demands[team].peak.record(m_account.inUse(team));
    return true;
}

void rights_protocol::release(const team_name &team, time_point now)
{
    m_account.release(team);
    const auto found = m_demands.find(team);
    if (found != m_demands.end() && isUsable(now))
        givePending(team, found->second);
}

void rights_protocol::setDemand(const team_name &team, right_count waiting, time_point now)
{
    team_demand &demand = m_demands[team];
    const bool begins = demand.waiting == 0 && waiting > 0;
    demand.waiting = waiting;
    if (begins && now - demand.reportedAt < m_options.resendInterval)
        demand.reportedAt = now - m_options.resendInterval;
    if (begins)
        demand.reportInterval = m_options.resendInterval;
}

void rights_protocol::setFresh(const std::vector<member> &fresh)
{
    m_peers.setFresh(fresh);
    m_balancers.clear();
}

void rights_protocol::setLimits(rights_limits limits)
{
    if (limits.configRevision >= m_limits.configRevision)
        m_limits = std::move(limits);
}

void rights_protocol::setConfirmed(bool confirmed)
{
    m_confirmed = confirmed;
}

bool rights_protocol::isCoordinator() const
{
    return !isClosed() && m_peers.coordinator() == m_account.self();
}

void rights_protocol::adopt(const wire::rights_document &document, revision at)
{
    if (at <= m_account.documentRevision())
        return;
    m_document = document;
    m_minted = internal::mintedOf(document);
    m_account.adopt(document, at);
    m_peers.adopt(document);
}

void rights_protocol::adoptRead(const wire::rights_document &document, revision at,
                                time_point begun)
{
    adopt(document, at);
    const bool current = at == m_account.documentRevision() && at != revision{};
    if (current && m_account.isListed(m_account.self()))
        m_proof.renew(begun);
}

std::optional<wire::rights_document> rights_protocol::proposeDocument(time_point now)
{
    if (!isCoordinator())
        return std::nullopt;
    document_inputs inputs;
    inputs.self = m_account.self();
    inputs.limits = m_limits;
    m_peers.fillInputs(inputs, now, m_options.maxRequestTime + m_options.maxProofAge);
    net_transfers &own = inputs.statements[inputs.self];
    for (const member &closed : closingHolders())
        own[closed] = m_account.netGiven(closed);
    for (const auto &[team, minted] : m_minted) {
        const right_count burnable = std::min(excess(team), m_account.burnable(team));
        if (burnable <= 0)
            continue;
        inputs.burnable[team] = burnable;
        m_account.reserveBurn(team, burnable);
    }
    return nextDocument(m_document, inputs);
}

bool rights_protocol::isUsable(time_point now) const
{
    return m_confirmed && m_proof.isValid(now) && !isClosed();
}

right_count rights_protocol::freeCount(const team_name &team) const
{
    const auto found = m_demands.find(team);
    const right_count pending = found == m_demands.end() ? 0 : found->second.pendingCount();
    const right_count toBurn = isCoordinator() ? excess(team) : 0;
    const right_count kept = m_account.burnable(team) - toBurn;
    return std::min(kept, m_account.available(team)) - pending;
}

rights_status rights_protocol::status(const team_name &team) const
{
    rights_status result;
    result.limit = m_limits.find(team);
    const auto minted = m_minted.find(team);
    result.minted = minted == m_minted.end() ? 0 : minted->second;
    result.held = m_account.holdings(team);
    result.inUse = m_account.inUse(team);
    const bool known =
        m_document.config_revision() >= static_cast<std::int64_t>(m_limits.configRevision);
    result.inForce = known && result.minted <= result.limit;
    return result;
}

std::vector<member> rights_protocol::closingHolders() const
{
    std::vector<member> result;
    for (const wire::rights_holder &holder : m_document.holders()) {
        if (holder.closing())
            result.push_back(internal::fromWire(holder.member()));
    }
    return result;
}

std::vector<member> rights_protocol::holdersWithoutStatement() const
{
    std::vector<member> result;
    for (const wire::rights_holder &holder : m_document.holders()) {
        const member peer = internal::fromWire(holder.member());
        if (!holder.closing() && peer != m_account.self() && !m_peers.hasCurrentDocument(peer))
            result.push_back(peer);
    }
    return result;
}

right_count rights_protocol::excess(const team_name &team) const
{
    const auto minted = m_minted.find(team);
    const bool older =
        static_cast<std::int64_t>(m_limits.configRevision) < m_document.config_revision();
    if (minted == m_minted.end() || older)
        return 0;
    return std::max<right_count>(0, minted->second - m_limits.find(team));
}

right_count rights_protocol::give(const member &to, const team_name &team, right_count most)
{
    if (!m_peers.canReceiveRights(to))
        return 0;
    const right_count count = m_account.give(to, team, most);
    if (count > 0) {
        m_moved += count;
        m_peers.stateOf(to).givenSent = {};
    }
    return count;
}

void rights_protocol::givePending(const team_name &team, team_demand &demand)
{
    for (rights_transfer &each : demand.pending)
        each.count -= give(each.to, team, each.count);
    std::erase_if(demand.pending, [](const rights_transfer &each) { return each.count <= 0; });
}

void rights_protocol::handOverAll()
{
    const auto other = [this](const member &peer) {
        return peer != m_account.self() && m_peers.canReceiveRights(peer);
    };
    const auto &fresh = m_peers.fresh();
    const auto receiver = std::find_if(fresh.begin(), fresh.end(), other);
    if (receiver == fresh.end())
        return;
    for (const team_name &team : m_account.teams())
        give(*receiver, team, m_account.available(team));
}

} // namespace azurelb
