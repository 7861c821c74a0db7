#include <azurelb/config/confirmation_tracker.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

constexpr document_revisions held{revision{5}, revision{5}};

class confirmation_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(confirmation_tracker_test);
    CPPUNIT_TEST(storeReadConfirmsAsOfItsSendTime);
    CPPUNIT_TEST(peerReportConfirmsAsOfThePeersConfirmation);
    CPPUNIT_TEST(majorityConfirmsAsOfItsOldestReport);
    CPPUNIT_TEST(peerWithNewerRevisionDoesNotConfirm);
    CPPUNIT_TEST(peerDoesNotVoteBeforeCatchUp);
    CPPUNIT_TEST(vmWithDisagreeingProcessesDoesNotVote);
    CPPUNIT_TEST(ignoresReportsPastTheirRetention);
    CPPUNIT_TEST(leavingMembersDoNotVote);
    CPPUNIT_TEST(clusterSizeIsTheLargestKnownToAnyDaemon);
    CPPUNIT_TEST(expiredReportsDoNotCountAsHolders);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_confirmation.setHeldRevisions(held, m_start); }

    void storeReadConfirmsAsOfItsSendTime()
    {
        CPPUNIT_ASSERT(!m_confirmation.isConfirmed(m_start));
        m_confirmation.onStoreRead(m_start);
        CPPUNIT_ASSERT(m_confirmation.isConfirmed(m_start + 2s));
        CPPUNIT_ASSERT(!m_confirmation.isConfirmed(m_start + 2001ms));
        CPPUNIT_ASSERT(m_confirmation.isCaughtUp());
    }

    void peerReportConfirmsAsOfThePeersConfirmation()
    {
        report(1, {m_start + 1s, held, true, 300ms, 3}, m_start + 1500ms);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 700ms);
        CPPUNIT_ASSERT(!m_confirmation.isCaughtUp());
    }

    void majorityConfirmsAsOfItsOldestReport()
    {
        m_confirmation.onStoreRead(m_start);
        report(1, votingReport(5s), m_start + 6s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
        report(2, votingReport(4s), m_start + 6s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
    }

    void peerWithNewerRevisionDoesNotConfirm()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report newer = votingReport(5s);
        newer.held.fleet = revision{6};
        report(1, newer, m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start);
        m_confirmation.setHeldRevisions(newer.held, m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
    }

    void peerDoesNotVoteBeforeCatchUp()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report fresh = votingReport(5s);
        fresh.caughtUp = false;
        report(1, fresh, m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_confirmation.countHolders(held, m_start + 5s));
    }

    void vmWithDisagreeingProcessesDoesNotVote()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report duplicate = votingReport(5s);
        duplicate.caughtUp = false;
        m_confirmation.onPeerReport({vm_id{"vm-1"}, incarnation{0}}, duplicate, m_start + 5s);
        report(1, votingReport(5s), m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start);
        m_confirmation.onLeave({vm_id{"vm-1"}, incarnation{0}});
        m_confirmation.advance(m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
    }

    void ignoresReportsPastTheirRetention()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report duplicate = votingReport(1s);
        duplicate.caughtUp = false;
        m_confirmation.onPeerReport({vm_id{"vm-1"}, incarnation{0}}, duplicate, m_start + 7s);
        report(1, votingReport(7s), m_start + 7s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 7s);
    }

    void leavingMembersDoNotVote()
    {
        m_confirmation.onStoreRead(m_start);
        report(1, votingReport(5s), m_start + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_confirmation.countHolders(held, m_start + 5s));
        m_confirmation.onLeave({vm_id{"vm-1"}, incarnation{1}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_confirmation.countHolders(held, m_start + 5s));
    }

    void clusterSizeIsTheLargestKnownToAnyDaemon()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_confirmation.majoritySize());
        m_confirmation.setKnownMembers(4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_confirmation.majoritySize());
        peer_report wide = votingReport(1s);
        wide.knownMembers = 6;
        report(1, wide, m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_confirmation.majoritySize());
        m_confirmation.advance(m_start + 7s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_confirmation.majoritySize());
    }

    void expiredReportsDoNotCountAsHolders()
    {
        m_confirmation.onStoreRead(m_start);
        report(1, votingReport(1s), m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_confirmation.countHolders(held, m_start + 3s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_confirmation.countHolders(held, m_start + 3001ms));
    }

private:
    [[nodiscard]] peer_report votingReport(duration writtenAfter) const
    {
        return {m_start + writtenAfter, held, true, std::nullopt, 3};
    }

    void report(std::uint64_t number, const peer_report &each, time_point now)
    {
        const vm_id vm{"vm-" + std::to_string(number)};
        m_confirmation.onPeerReport({vm, incarnation{number}}, each, now);
    }

    static replica_options options()
    {
        replica_options three;
        three.expectedMembers = 3;
        return three;
    }

    const time_point m_start{1h};
    confirmation_tracker m_confirmation{vm_id{"vm-0"}, options(), m_start};
};

CPPUNIT_TEST_SUITE_REGISTRATION(confirmation_tracker_test);

} // namespace
