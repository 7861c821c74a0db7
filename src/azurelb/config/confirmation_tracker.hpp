#pragma once

#include <azurelb/config/peer_report.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/membership/member.hpp>

#include <map>
#include <vector>

namespace azurelb {

/**
 * Tracks up to which time this daemon's documents are known to be complete, and which majority
 * holds a revision. A change is accepted once it is committed and a majority holds it.
 *
 * Three kinds of evidence confirm that this daemon holds every change accepted before some time: a
 * linearizable read of the store, as of its send time; the report of a confirmed peer whose
 * documents are not newer, as of the peer's own confirmation; and the reports of a majority whose
 * documents are not newer, as of the time before which none of them was written, because that
 * majority has a member in common with the one that accepted the change.
 *
 * A restarted daemon has lost its documents. It counts in no majority until it has caught up with
 * everything that it could have helped to accept: from the store, or from peers as of
 * minCatchUpTime after its start. Reports prove a revision only for maxReportAge, which is shorter,
 * so that nothing is accepted because of a process that has been replaced by one that holds less.
 *
 * Performs no I/O and reads no clock; callers pass the time.
 */
class confirmation_tracker
{
public:
    confirmation_tracker(vm_id self, const replica_options &options, time_point startedAt);

    /** Sets the number of known VM names, this one included; the cluster size is at least that. */
    void setKnownMembers(std::size_t known) noexcept { m_knownMembers = known; }

    /** Sets the revisions that this daemon holds. Precondition: they never decrease. */
    void setHeldRevisions(const document_revisions &held, time_point now);

    /** A store read succeeded: this daemon holds everything that the store had at sentAt. */
    void onStoreRead(time_point sentAt);

    void onPeerReport(const member &from, const peer_report &report, time_point now);

    /** Discards the report of a member that shuts down. */
    void onLeave(const member &id);

    /** Discards expired reports and re-evaluates the majority. */
    void advance(time_point now);

    /** Time as of which the documents were last confirmed; empty if never. */
    [[nodiscard]] const std::optional<time_point> &confirmedAt() const noexcept
    {
        return m_confirmedAt;
    }

    [[nodiscard]] bool isConfirmed(time_point now) const noexcept;

    /** True if this daemon has caught up since its start and counts in majorities. */
    [[nodiscard]] bool isCaughtUp() const noexcept { return m_caughtUp; }

    [[nodiscard]] const document_revisions &held() const noexcept { return m_held; }

    /**
     * Number of daemons that majorities refer to: the largest of the configured number and the
     * numbers known to this daemon and to the peers that reported.
     */
    [[nodiscard]] std::size_t clusterSize() const noexcept;

    [[nodiscard]] std::size_t majoritySize() const noexcept { return clusterSize() / 2 + 1; }

    /** Number of VMs, this one included, that provably hold the revisions now. */
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
