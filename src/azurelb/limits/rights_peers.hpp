#pragma once

#include <azurelb/limits/rights_peer.hpp>

#include <map>
#include <vector>

namespace azurelb {

namespace wire {
class rights_document;
class rights_message;
} // namespace wire

/**
 * The other daemons as far as rights are concerned: which are known, registered in the rights
 * document, gone, and what each has said. Every daemon that may hold rights stays known until it
 * is reclaimed.
 */
class rights_peers
{
public:
    using value_type = std::map<member, rights_peer>::value_type;

    /** A silent daemon is replaced once another has used its VM's name for the replacementDelay
     * time. */
    rights_peers(const rights_account &account, const departure_source &departures,
                 duration replacementDelay);

    /** Sets the daemons with a recent heartbeat. */
    void setFresh(const std::vector<member> &fresh);

    /** Takes over what a message says of its sender. */
    void handleMessage(const member &from, const wire::rights_message &message);

    /** From now on every daemon that the document lists is known. */
    void adopt(const wire::rights_document &document);

    /**
     * Finds out which daemons are gone or replaced and forgets those reclaimed. A daemon with a
     * recent heartbeat is not gone, whatever the list says, so that a wrong list stops no one.
     */
    void update(time_point now);

    /** Known daemons that are neither gone nor closing. */
    [[nodiscard]] std::vector<member> active() const;

    /** Daemons with a recent heartbeat and this one that are not gone, sorted. */
    [[nodiscard]] const std::vector<member> &fresh() const noexcept { return m_fresh; }

    [[nodiscard]] bool isFresh(const member &peer) const;

    /** The daemon that writes the rights document: the first one that is fresh. */
    [[nodiscard]] const member &coordinator() const noexcept { return m_fresh.front(); }

    /** Known daemons, this one included, that the rights document does not list. */
    [[nodiscard]] std::vector<member> unregistered() const;

    /**
     * True if rights may be given to the peer: the rights document lists it, or every active
     * daemon that knows the same document knows the peer, so that its rights are counted when
     * the giver is reclaimed.
     */
    [[nodiscard]] bool canReceiveRights(const member &peer) const;

    [[nodiscard]] bool isGone(const member &peer) const;

    /** True if the peer has said that it knows the same rights document as this daemon. */
    [[nodiscard]] bool hasCurrentDocument(const member &peer) const;

    /**
     * Fills in what the next document rests on as far as it comes from peers. The work of a daemon
     * that is gone counts as ended so long after the last other holder has stopped dealing with it.
     */
    void fillInputs(document_inputs &inputs, time_point now, duration ending) const;

    /** What is known of the peer, which is known from now on. */
    [[nodiscard]] rights_peer &stateOf(const member &peer) { return m_peers[peer]; }

private:
    [[nodiscard]] bool isReplaced(const member &peer, const rights_peer &state,
                                  time_point now) const;
    void updateSilence(const member &peer, rights_peer &state, time_point now) const;
    [[nodiscard]] bool isStatedByAll(const member &closing) const;
    void addPeer(const member &peer);
    void selectFresh();

    const rights_account &m_account;
    const departure_source &m_departures;
    duration m_replacementDelay;
    std::map<member, rights_peer> m_peers{};
    std::vector<member> m_heartbeats{};
    std::vector<member> m_fresh{};
};

} // namespace azurelb
