#include <azurelb/limits/rights_account.hpp>

#include <azurelb/limits/rights_wire.hpp>

#include <algorithm>

namespace azurelb {

rights_account::rights_account(member self)
    : m_self{std::move(self)}
{ }

right_count rights_account::holdings(const team_name &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.holdings;
}

right_count rights_account::inUse(const team_name &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.inUse;
}

right_count rights_account::available(const team_name &team) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || m_closed)
        return 0;
    const team_rights &rights = found->second;
    return std::max<right_count>(0, rights.holdings - rights.inUse - rights.burning);
}

right_count rights_account::burnable(const team_name &team) const
{
    return std::max<right_count>(0, holdings(team) - inUse(team));
}

std::vector<team_name> rights_account::teams() const
{
    std::vector<team_name> names;
    names.reserve(m_teams.size());
    for (const auto &[team, rights] : m_teams)
        names.push_back(team);
    return names;
}

bool rights_account::acquire(const team_name &team)
{
    if (available(team) <= 0)
        return false;
    ++m_teams[team].inUse;
    return true;
}

void rights_account::release(const team_name &team)
{
    team_rights &rights = m_teams[team];
    if (rights.inUse > 0)
        --rights.inUse;
}

right_count rights_account::give(const member &to, const team_name &team, right_count most)
{
    const right_count count = std::min(most, available(team));
    if (count <= 0 || to == m_self || isFrozen(to))
        return 0;
    m_teams[team].holdings -= count;
    m_counterparts[to][team].given += count;
    return count;
}

bool rights_account::receive(const member &from, const team_name &team, right_count cumulative)
{
    if (m_closed || isFrozen(from) || from == m_self || cumulative <= 0)
        return false;
    exchange &pair = m_counterparts[from][team];
    const right_count added = cumulative - pair.received;
    if (added <= 0)
        return false;
    pair.received = cumulative;
    m_teams[team].holdings += added;
    return true;
}

void rights_account::acknowledge(const member &from, const team_name &team, right_count cumulative)
{
    const auto peer = m_counterparts.find(from);
    if (peer == m_counterparts.end())
        return;
    const auto pair = peer->second.find(team);
    if (pair != peer->second.end())
        pair->second.acknowledged = std::max(pair->second.acknowledged, cumulative);
}

team_counts rights_account::unacknowledged(const member &to) const
{
    team_counts counts;
    const auto peer = m_counterparts.find(to);
    if (peer == m_counterparts.end() || isFrozen(to))
        return counts;
    for (const auto &[team, pair] : peer->second) {
        if (pair.given > pair.acknowledged)
            counts.emplace(team, pair.given);
    }
    return counts;
}

right_count rights_account::received(const member &from, const team_name &team) const
{
    const exchange *pair = find(from, team);
    return pair ? pair->received : 0;
}

std::vector<member> rights_account::counterparts() const
{
    std::vector<member> peers;
    peers.reserve(m_counterparts.size());
    for (const auto &[peer, exchanged] : m_counterparts)
        peers.push_back(peer);
    return peers;
}

bool rights_account::isFrozen(const member &peer) const
{
    return m_frozen.contains(peer);
}

bool rights_account::isListed(const member &peer) const
{
    return m_listed.contains(peer);
}

team_counts rights_account::netGiven(const member &frozen) const
{
    team_counts counts;
    const auto peer = m_counterparts.find(frozen);
    if (peer == m_counterparts.end())
        return counts;
    for (const auto &[team, pair] : peer->second)
        counts[team] = pair.given - pair.received;
    return counts;
}

void rights_account::adopt(const wire::rights_document &document, revision at)
{
    if (at <= m_documentRevision)
        return;
    m_documentRevision = at;
    adoptOwn(document);
    adoptPeers(document);
    recomputeHoldings();
}

void rights_account::reserveBurn(const team_name &team, right_count count)
{
    team_rights &rights = m_teams[team];
    rights.burning = std::max(rights.burning, count);
}

const rights_account::exchange *rights_account::find(const member &peer,
                                                     const team_name &team) const
{
    const auto found = m_counterparts.find(peer);
    if (found == m_counterparts.end())
        return nullptr;
    const auto pair = found->second.find(team);
    return pair == found->second.end() ? nullptr : &pair->second;
}

void rights_account::adoptOwn(const wire::rights_document &document)
{
    for (auto &[team, rights] : m_teams) {
        rights.minted = 0;
        rights.burning = 0;
    }
    const wire::rights_holder *own = internal::findHolder(document, m_self);
    if (own && own->closing())
        m_closed = true;
    if (!own)
        return;
    for (const wire::team_count &each : own->minted())
        m_teams[team_name{each.team()}].minted = each.count();
}

void rights_account::adoptPeers(const wire::rights_document &document)
{
    std::map<member, std::uint64_t> listed;
    for (const wire::rights_holder &holder : document.holders()) {
        const member peer = internal::fromWire(holder.member());
        listed.emplace(peer, holder.number());
        if (holder.closing() && peer != m_self)
            m_frozen.insert(peer);
    }
    for (const auto &[peer, number] : m_listed) {
        const auto found = listed.find(peer);
        if (found == listed.end() || found->second != number)
            removeReclaimed(peer);
    }
    m_listed = std::move(listed);
}

void rights_account::removeReclaimed(const member &reclaimed)
{
    if (reclaimed == m_self) {
        m_closed = true;
        return;
    }
    // The peer was reclaimed without this daemon's statement, so rights received from it may now
    // exist twice.
    const bool stated = !m_frozen.insert(reclaimed).second;
    if (m_counterparts.erase(reclaimed) > 0 && !stated)
        m_closed = true;
}

void rights_account::recomputeHoldings()
{
    for (auto &[team, rights] : m_teams)
        rights.holdings = rights.minted;
    for (const auto &[peer, exchanged] : m_counterparts) {
        for (const auto &[team, pair] : exchanged)
            m_teams[team].holdings += pair.received - pair.given;
    }
}

} // namespace azurelb
