#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

#include <map>
#include <set>
#include <vector>

namespace azurelb {

namespace wire {
class rights_document;
} // namespace wire

/**
 * The rights of one incarnation, as a replica of a bounded counter (Balegas et al., 2015). For
 * each team the holdings are the rights minted (created) for this daemon in the rights document,
 * plus all rights received, minus all rights given. The counts exchanged between two daemons are
 * cumulative and only grow, so that a lost message delays a transfer and a repeated or reordered
 * one has no effect. A right is deducted from the giver before it is added to the receiver, and a
 * right in use is never given.
 */
class rights_account
{
public:
    explicit rights_account(member self);

    [[nodiscard]] const member &self() const noexcept { return m_self; }

    /** Revision of the newest adopted rights document; 0 if there was none. */
    [[nodiscard]] revision documentRevision() const noexcept { return m_documentRevision; }

    /** True if this incarnation was declared gone; it can never use rights again. */
    [[nodiscard]] bool isClosed() const noexcept { return m_closed; }

    [[nodiscard]] right_count holdings(const team_name &team) const;
    [[nodiscard]] right_count inUse(const team_name &team) const;

    /** Rights held that are neither in use nor reserved for burning. */
    [[nodiscard]] right_count available(const team_name &team) const;

    /** Rights held that are not in use, including those reserved for burning. */
    [[nodiscard]] right_count burnable(const team_name &team) const;

    /** Teams of which this daemon has ever held rights. */
    [[nodiscard]] std::vector<team_name> teams() const;

    /** Marks one right as in use. Returns false if none is available. */
    [[nodiscard]] bool acquire(const team_name &team);

    /** Marks one right as no longer in use. */
    void release(const team_name &team);

    /** Gives up to `most` available rights to a peer. Returns the number given. */
    right_count give(const member &to, const team_name &team, right_count most);

    /** Applies the cumulative count given by a peer. Returns true if it added rights. */
    bool receive(const member &from, const team_name &team, right_count cumulative);

    /** Applies the cumulative count that a peer has received from this daemon. */
    void acknowledge(const member &from, const team_name &team, right_count cumulative);

    /** Cumulative counts given to a peer, for teams whose count it has not acknowledged. */
    [[nodiscard]] team_counts unacknowledged(const member &to) const;

    /** Cumulative count received from a peer. */
    [[nodiscard]] right_count received(const member &from, const team_name &team) const;

    /** Peers with which rights were exchanged and that are not reclaimed. */
    [[nodiscard]] std::vector<member> counterparts() const;

    /**
     * True if no more rights are exchanged with the peer because a document showed it as closing
     * or reclaimed. Kept for the life of the process because messages may be delayed.
     */
    [[nodiscard]] bool isFrozen(const member &peer) const;

    /** True if the newest rights document lists the daemon. */
    [[nodiscard]] bool isListed(const member &peer) const;

    /** Rights given to a frozen peer minus those received from it, by team. Final once frozen. */
    [[nodiscard]] team_counts netGiven(const member &frozen) const;

    /**
     * Adopts a newer rights document: minted counts, closing holders, and the removal of reclaimed
     * holders, which are no longer listed. An older document is ignored.
     */
    void adopt(const wire::rights_document &document, revision at);

    /** Reserves rights that a pending write burns (destroys) until a newer document is adopted. */
    void reserveBurn(const team_name &team, right_count count);

private:
    struct team_rights
    {
        right_count minted{};
        right_count holdings{};
        right_count inUse{};
        right_count burning{};
    };

    struct exchange
    {
        right_count given{};
        right_count acknowledged{};
        right_count received{};
    };

    using exchanges = std::map<team_name, exchange>;

    [[nodiscard]] const exchange *find(const member &peer, const team_name &team) const;
    void adoptOwn(const wire::rights_document &document);
    void adoptPeers(const wire::rights_document &document);
    void removeReclaimed(const member &reclaimed);
    void recomputeHoldings();

    member m_self;
    revision m_documentRevision{};
    bool m_closed{false};
    std::map<team_name, team_rights> m_teams{};
    std::map<member, exchanges> m_counterparts{};
    /** Row numbers in the newest rights document. */
    std::map<member, std::uint64_t> m_listed{};
    std::set<member> m_frozen{};
};

} // namespace azurelb
