#include <azurelb/config/confirmation.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

constexpr document_revisions held{revision{5}, revision{5}};

class confirmation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(confirmation_test);
    CPPUNIT_TEST(countsFromTheTimeOfTheRead);
    CPPUNIT_TEST(subtractsAPeersAge);
    CPPUNIT_TEST(takesTheOldestOfAMajority);
    CPPUNIT_TEST(waitsForWhatAPeerHasMore);
    CPPUNIT_TEST(countsAPeerOnlyOnceItHasLearned);
    CPPUNIT_TEST(namesWithDisagreeingProcessesDoNotVote);
    CPPUNIT_TEST(answersToOldQuestionsDoNotBlock);
    CPPUNIT_TEST(leavingMembersDoNotVote);
    CPPUNIT_TEST(sizeIsTheLargestThatAnyoneKnows);
    CPPUNIT_TEST(oldReportsProveNoHolder);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_confirmation.setHeld(held, m_start); }

    void countsFromTheTimeOfTheRead()
    {
        CPPUNIT_ASSERT(!m_confirmation.isConfirmed(m_start));
        m_confirmation.onStoreRead(m_start);
        CPPUNIT_ASSERT(m_confirmation.isConfirmed(m_start + 2s));
        CPPUNIT_ASSERT(!m_confirmation.isConfirmed(m_start + 2001ms));
        CPPUNIT_ASSERT(m_confirmation.isLearned());
    }

    void subtractsAPeersAge()
    {
        report(1, {m_start + 1s, held, true, 300ms, 3}, m_start + 1500ms);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 700ms);
        CPPUNIT_ASSERT(!m_confirmation.isLearned());
    }

    void takesTheOldestOfAMajority()
    {
        m_confirmation.onStoreRead(m_start);
        report(1, voter(5s), m_start + 6s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
        report(2, voter(4s), m_start + 6s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
    }

    void waitsForWhatAPeerHasMore()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report newer = voter(5s);
        newer.held.fleet = revision{6};
        report(1, newer, m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start);
        m_confirmation.setHeld(newer.held, m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
    }

    void countsAPeerOnlyOnceItHasLearned()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report fresh = voter(5s);
        fresh.learned = false;
        report(1, fresh, m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_confirmation.countHolders(held, m_start + 5s));
    }

    void namesWithDisagreeingProcessesDoNotVote()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report twin = voter(5s);
        twin.learned = false;
        m_confirmation.onPeerReport({vm_id{"vm-1"}, incarnation{0}}, twin, m_start + 5s);
        report(1, voter(5s), m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start);
        m_confirmation.onLeave({vm_id{"vm-1"}, incarnation{0}});
        m_confirmation.advance(m_start + 5s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 5s);
    }

    void answersToOldQuestionsDoNotBlock()
    {
        m_confirmation.onStoreRead(m_start);
        peer_report twin = voter(1s);
        twin.learned = false;
        m_confirmation.onPeerReport({vm_id{"vm-1"}, incarnation{0}}, twin, m_start + 7s);
        report(1, voter(7s), m_start + 7s);
        CPPUNIT_ASSERT(*m_confirmation.confirmedAt() == m_start + 7s);
    }

    void leavingMembersDoNotVote()
    {
        m_confirmation.onStoreRead(m_start);
        report(1, voter(5s), m_start + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_confirmation.countHolders(held, m_start + 5s));
        m_confirmation.onLeave({vm_id{"vm-1"}, incarnation{1}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_confirmation.countHolders(held, m_start + 5s));
    }

    void sizeIsTheLargestThatAnyoneKnows()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_confirmation.majority());
        m_confirmation.setKnownMembers(4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_confirmation.majority());
        peer_report wide = voter(1s);
        wide.knownMembers = 6;
        report(1, wide, m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_confirmation.majority());
        m_confirmation.advance(m_start + 7s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_confirmation.majority());
    }

    void oldReportsProveNoHolder()
    {
        m_confirmation.onStoreRead(m_start);
        report(1, voter(1s), m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_confirmation.countHolders(held, m_start + 3s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_confirmation.countHolders(held, m_start + 3001ms));
    }

private:
    [[nodiscard]] peer_report voter(duration writtenAfter) const
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
    confirmation m_confirmation{vm_id{"vm-0"}, options(), m_start};
};

CPPUNIT_TEST_SUITE_REGISTRATION(confirmation_test);

} // namespace
