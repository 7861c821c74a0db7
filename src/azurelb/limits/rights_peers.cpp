#include <azurelb/limits/rights_peers.hpp>

#include <azurelb/limits/departure_source.hpp>
#include <azurelb/limits/rights_account.hpp>
#include <azurelb/limits/rights_wire.hpp>

#include <algorithm>

namespace azurelb {

rights_peers::rights_peers(const rights_account &account, const departure_source &departures,
                           duration replacementDelay)
    : m_account{account}
    , m_departures{departures}
    , m_replacementDelay{replacementDelay}
    , m_fresh{account.self()}
{ }

void rights_peers::setFresh(const std::vector<member> &fresh)
{
    m_heartbeats = fresh;
    std::sort(m_heartbeats.begin(), m_heartbeats.end());
    for (const member &peer : fresh)
        addPeer(peer);
    selectFresh();
}

void rights_peers::handleMessage(const member &from, const wire::rights_message &message)
{
    addPeer(from);
    const auto found = m_peers.find(from);
    if (found == m_peers.end())
        return;
    rights_peer &peer = found->second;
    const revision at{message.revision()};
    if (at < peer.documentRevision)
        return;
    peer.documentRevision = at;
    for (const wire::rights_statement &statement : message.statements()) {
        const member closed = internal::fromWire(statement.closed());
        peer.statements[closed] = internal::fromWire(statement.net());
    }
    peer.unregistered.clear();
    for (const wire::rights_member &each : message.unregistered())
        peer.unregistered.insert(internal::fromWire(each));
    // With another document revision, the list may contain daemons that were reclaimed since.
    if (at != m_account.documentRevision())
        return;
    for (const member &each : std::set<member>{peer.unregistered})
        addPeer(each);
}

void rights_peers::adopt(const wire::rights_document &document)
{
    for (const wire::rights_holder &holder : document.holders())
        addPeer(internal::fromWire(holder.member()));
}

void rights_peers::update(time_point now)
{
    std::erase_if(m_peers, [this](const value_type &entry) {
        return m_account.isFrozen(entry.first) && !m_account.isListed(entry.first);
    });
    for (auto &[peer, state] : m_peers) {
        updateSilence(peer, state, now);
        const bool gone = m_departures.isGone(peer) || isReplaced(peer, state, now);
        if (!state.silentSince || !gone)
            state.goneSince.reset();
        else if (!state.goneSince)
            state.goneSince = now;
        if (!state.statedByAllSince && isStatedByAll(peer))
            state.statedByAllSince = now;
    }
    selectFresh();
}

std::vector<member> rights_peers::active() const
{
    std::vector<member> result;
    for (const auto &[peer, state] : m_peers) {
        if (!state.goneSince && !m_account.isFrozen(peer))
            result.push_back(peer);
    }
    return result;
}

bool rights_peers::isFresh(const member &peer) const
{
    return std::binary_search(m_fresh.begin(), m_fresh.end(), peer);
}

std::vector<member> rights_peers::unregistered() const
{
    std::vector<member> result;
    if (!m_account.isListed(m_account.self()) && !m_account.isClosed())
        result.push_back(m_account.self());
    for (const auto &[peer, state] : m_peers) {
        if (!m_account.isListed(peer) && !m_account.isFrozen(peer))
            result.push_back(peer);
    }
    return result;
}

bool rights_peers::canReceiveRights(const member &peer) const
{
    if (m_account.isFrozen(peer) || isGone(peer))
        return false;
    if (m_account.isListed(peer))
        return true;
    if (m_account.documentRevision() == revision{})
        return false;
    const std::vector<member> others = active();
    return std::all_of(others.begin(), others.end(), [&](const member &other) {
        const rights_peer &state = m_peers.at(other);
        const bool knows = other == peer || state.unregistered.contains(peer);
        return knows && state.documentRevision == m_account.documentRevision();
    });
}

bool rights_peers::isGone(const member &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.goneSince.has_value();
}

bool rights_peers::hasCurrentDocument(const member &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.documentRevision == m_account.documentRevision();
}

void rights_peers::fillInputs(document_inputs &inputs, time_point now, duration ending) const
{
    inputs.unregistered = unregistered();
    for (const auto &[peer, state] : m_peers) {
        if (state.goneSince)
            inputs.gone.insert(peer);
        if (state.statedByAllSince && now - *state.statedByAllSince >= ending)
            inputs.ended.insert(peer);
        if (state.documentRevision == m_account.documentRevision())
            inputs.statements[peer] = state.statements;
    }
}

void rights_peers::updateSilence(const member &peer, rights_peer &state, time_point now) const
{
    if (std::binary_search(m_heartbeats.begin(), m_heartbeats.end(), peer))
        state.silentSince.reset();
    else if (!state.silentSince)
        state.silentSince = now;
}

bool rights_peers::isReplaced(const member &peer, const rights_peer &state, time_point now) const
{
    if (!state.silentSince || now - *state.silentSince < m_replacementDelay)
        return false;
    const auto replaces = [&peer](const member &other) {
        return other.vm == peer.vm && other.id != peer.id;
    };
    return replaces(m_account.self())
        || std::any_of(m_heartbeats.begin(), m_heartbeats.end(), replaces);
}

bool rights_peers::isStatedByAll(const member &closing) const
{
    if (!m_account.isFrozen(closing))
        return false;
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const value_type &entry) {
        const auto &[peer, state] = entry;
        const bool deals = m_account.isListed(peer) && !m_account.isFrozen(peer);
        return !deals || state.statements.contains(closing);
    });
}

void rights_peers::addPeer(const member &peer)
{
    if (peer == m_account.self())
        return;
    const bool reclaimed = m_account.isFrozen(peer) && !m_account.isListed(peer);
    if (!reclaimed)
        m_peers.try_emplace(peer);
}

void rights_peers::selectFresh()
{
    m_fresh.clear();
    for (const member &peer : m_heartbeats) {
        if (peer != m_account.self() && !isGone(peer) && !m_account.isFrozen(peer))
            m_fresh.push_back(peer);
    }
    m_fresh.push_back(m_account.self());
    std::sort(m_fresh.begin(), m_fresh.end());
}

} // namespace azurelb
