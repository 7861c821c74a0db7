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
 * State of the other daemons in the rights protocol: which are known, listed in the rights
 * document or gone (removed by the platform or replaced), and what each has reported. Every daemon
 * that may hold rights is kept until it is reclaimed.
 */
class rights_peers
{
public:
    using value_type = std::map<member, rights_peer>::value_type;

    /**
     * A daemon counts as replaced once it has been unresponsive for the replacement delay and
     * another one uses its VM name.
     */
    rights_peers(const rights_account &account, const departure_source &departures,
                 duration replacementDelay);

    /** Sets the daemons with a recent heartbeat. */
    void setFresh(const std::vector<member> &fresh);

    /** Updates the state of the sender from its message. */
    void handleMessage(const member &from, const wire::rights_message &message);

    /** Adds all daemons that the document lists. */
    void adopt(const wire::rights_document &document);

    /**
     * Determines which daemons have been removed, and erases reclaimed ones. A daemon with a recent
     * heartbeat never counts as removed, so that a wrong VM list cannot stop a running daemon.
     */
    void update(time_point now);

    /** Known daemons that are neither gone nor closing. */
    [[nodiscard]] std::vector<member> active() const;

    /** This daemon and those with a recent heartbeat that are neither gone nor closing, sorted. */
    [[nodiscard]] const std::vector<member> &fresh() const noexcept { return m_fresh; }

    [[nodiscard]] bool isFresh(const member &peer) const;

    /** The daemon that writes the rights document: the first of fresh(). */
    [[nodiscard]] const member &coordinator() const noexcept { return m_fresh.front(); }

    /** Known daemons, including this one, that the rights document does not list. */
    [[nodiscard]] std::vector<member> unregistered() const;

    /**
     * True if rights may be given to the peer: the rights document lists it, or every active
     * daemon has the same document revision as this one and knows the peer, so that its rights are
     * counted if the giver is reclaimed.
     */
    [[nodiscard]] bool canReceiveRights(const member &peer) const;

    [[nodiscard]] bool isGone(const member &peer) const;

    /** True if the peer has reported the same revision of the rights document as this daemon. */
    [[nodiscard]] bool hasCurrentDocument(const member &peer) const;

    /**
     * Fills in the inputs that come from peers. The work of a gone daemon counts as ended when the
     * time `ending` has passed since the last other holder stopped exchanging rights with it.
     */
    void fillInputs(document_inputs &inputs, time_point now, duration ending) const;

    /** Returns the state of the peer; adds the peer if it is not known. */
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
