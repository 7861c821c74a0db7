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
 * The rights of one incarnation, in the manner of the bounded counter (Balegas et al., 2015). For
 * each team it holds what was minted for it in the rights document, plus what it ever received,
 * less what it ever gave. Numbers between two daemons are cumulative and only grow, so that a lost
 * message delays a right and a repeated or reordered one changes nothing. A right leaves the giver
 * before it reaches the receiver, and a right in use never leaves.
 */
class rights_account
{
public:
    explicit rights_account(member self);

    [[nodiscard]] const member &self() const noexcept { return m_self; }

    /** Revision of the newest rights document taken over; 0 if there was none. */
    [[nodiscard]] revision documentRevision() const noexcept { return m_documentRevision; }

    /** True if this incarnation was declared gone: it never holds a usable right again. */
    [[nodiscard]] bool isClosed() const noexcept { return m_closed; }

    [[nodiscard]] right_count holdings(const team_name &team) const;
    [[nodiscard]] right_count inUse(const team_name &team) const;

    /** Rights held that are neither in use nor about to be burned. */
    [[nodiscard]] right_count available(const team_name &team) const;

    /** Rights held that are not in use, those about to be burned included. */
    [[nodiscard]] right_count burnable(const team_name &team) const;

    /** Teams of which this daemon ever held rights. */
    [[nodiscard]] std::vector<team_name> teams() const;

    /** Takes a right into use. False if none is available. */
    [[nodiscard]] bool acquire(const team_name &team);

    /** Ends the use of a right. */
    void release(const team_name &team);

    /** Gives available rights away; returns how many, at most those available. */
    right_count give(const member &to, const team_name &team, right_count most);

    /** Takes over the cumulative number given by a peer. True if that brought rights. */
    bool receive(const member &from, const team_name &team, right_count cumulative);

    /** Notes the cumulative number that a peer has received from here. */
    void acknowledge(const member &from, const team_name &team, right_count cumulative);

    /** Cumulative numbers given to a peer that it has not acknowledged. */
    [[nodiscard]] team_counts unacknowledged(const member &to) const;

    /** Cumulative number received from a peer. */
    [[nodiscard]] right_count received(const member &from, const team_name &team) const;

    /** Peers with which rights were ever exchanged and that are not reclaimed. */
    [[nodiscard]] std::vector<member> counterparts() const;

    /**
     * True if nothing is exchanged with that peer any more, because a document showed it closing
     * or reclaimed. It is remembered for the life of the process, as messages may come late.
     */
    [[nodiscard]] bool isFrozen(const member &peer) const;

    /** True if the newest rights document lists that daemon. */
    [[nodiscard]] bool isListed(const member &peer) const;

    /** Given to a frozen peer less received from it, by team. It never changes again. */
    [[nodiscard]] team_counts netGiven(const member &frozen) const;

    /**
     * Takes over a newer rights document: the minted numbers, the holders that are closing, and
     * the reclaimed ones, which it no longer lists. An older document is passed over.
     */
    void adopt(const wire::rights_document &document, revision at);

    /** Keeps available rights back until a write that burns them is settled by a newer document. */
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
    /** Numbers of the rows in the newest rights document. */
    std::map<member, std::uint64_t> m_listed{};
    std::set<member> m_frozen{};
};

} // namespace azurelb
