#pragma once

#include <azurelb/config/peer_report.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/membership/member.hpp>

#include <map>
#include <vector>

namespace azurelb {

/**
 * Decides up to which time this daemon's documents are known to be complete, and which majority
 * holds a revision. A change is accepted once it is committed and a majority holds it.
 *
 * Three things prove that every change accepted before some time is held here: a linearizable read
 * of the store, by the time at which it was sent; the report of a confirmed peer whose documents
 * are not newer, by the time of its own confirmation; and the reports of a majority whose documents
 * are not newer, by the time before which none of them was written, since that majority shares a
 * member with the one that accepted the change.
 *
 * A restarted daemon has forgotten what it held. It counts in no majority until it has learned all
 * that it could have helped to accept: from the store, or from peers as of a time minCatchUpTime
 * past its start. As reports prove a revision only for maxReportAge, which is shorter, nothing is
 * accepted on the word of a process that has been replaced by one that has learned less.
 *
 * It reads no clock and sends nothing.
 */
class confirmation_tracker
{
public:
    confirmation_tracker(vm_id self, const replica_options &options, time_point startedAt);

    /** States the VM names that count at least, this one included. */
    void setKnownMembers(std::size_t known) noexcept { m_knownMembers = known; }

    /** States what this daemon holds. Precondition: it never falls. */
    void setHeldRevisions(const document_revisions &held, time_point now);

    /** All that the store had when the read was sent is held. */
    void onStoreRead(time_point sentAt);

    void onPeerReport(const member &from, const peer_report &report, time_point now);

    /** The member shuts down and counts no longer. */
    void onLeave(const member &id);

    /** Takes account of the time that has passed. */
    void advance(time_point now);

    /** Time of the newest confirmation; nothing if there was none. */
    [[nodiscard]] const std::optional<time_point> &confirmedAt() const noexcept
    {
        return m_confirmedAt;
    }

    [[nodiscard]] bool isConfirmed(time_point now) const noexcept;

    /** True if this daemon counts in a majority. */
    [[nodiscard]] bool isCaughtUp() const noexcept { return m_caughtUp; }

    [[nodiscard]] const document_revisions &held() const noexcept { return m_held; }

    /** Number over which majorities are counted: the largest that any daemon heard from knows of.
     */
    [[nodiscard]] std::size_t clusterSize() const noexcept;

    [[nodiscard]] std::size_t majoritySize() const noexcept { return clusterSize() / 2 + 1; }

    /** Number of VMs, this one included, that are proved to hold the revisions now. */
    [[nodiscard]] std::size_t countHolders(const document_revisions &wanted, time_point now) const;

private:
    [[nodiscard]] std::vector<time_point> voteTimes(const document_revisions &atMost,
                                                    const document_revisions &atLeast,
                                                    time_point now) const;
    void confirm(time_point at, bool byStore);
    void confirmByPeerReport(const peer_report &report);
    void confirmByMajority(time_point now);

    vm_id m_self;
    replica_options m_options;
    time_point m_startedAt;
    std::size_t m_knownMembers{1};
    bool m_caughtUp{false};
    document_revisions m_held{};
    std::optional<time_point> m_confirmedAt{};
    std::map<member, peer_report> m_reports{};
};

} // namespace azurelb
