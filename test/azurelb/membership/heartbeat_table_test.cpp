#include <azurelb/membership/heartbeat_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

class heartbeat_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(heartbeat_table_test);
    CPPUNIT_TEST(answerMakesFresh);
    CPPUNIT_TEST(silenceEndsFreshness);
    CPPUNIT_TEST(oneWayConnectionIsNotFresh);
    CPPUNIT_TEST(leavingEndsFreshnessAtOnce);
    CPPUNIT_TEST(leavingIsFinal);
    CPPUNIT_TEST(twoProcessesOfOneNameAreTwoMembers);
    CPPUNIT_TEST(lateAndRepeatedOnesAreIgnored);
    CPPUNIT_TEST(answerTellsWhenTheQuestionWasSent);
    CPPUNIT_TEST(answerToAnEarlierProcessIsNone);
    CPPUNIT_TEST(forgedSequenceIsIgnored);
    CPPUNIT_TEST(countsKnownNames);
    CPPUNIT_TEST(silentPeersAreDialledAnew);
    CPPUNIT_TEST(strangersGetAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_a.setPeers({m_b.self().vm}, m_now);
        m_b.setPeers({m_a.self().vm}, m_now);
    }

    void answerMakesFresh()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.fresh(m_now).size());
        exchange();
        const std::vector<member> both{m_a.self(), m_b.self()};
        CPPUNIT_ASSERT(m_a.fresh(m_now) == both);
    }

    void silenceEndsFreshness()
    {
        exchange();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.fresh(m_now + 800ms).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.fresh(m_now + 801ms).size());
    }

    void oneWayConnectionIsNotFresh()
    {
        for (int round = 0; round < 8; ++round, m_now += 250ms)
            send(m_b, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.fresh(m_now).size());
    }

    void leavingEndsFreshnessAtOnce()
    {
        exchange();
        exchange();
        m_b.leave();
        send(m_b, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.fresh(m_now).size());
        CPPUNIT_ASSERT(m_a.isLeaving(m_b.self()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.countKnown(m_now));
        CPPUNIT_ASSERT(m_b.fresh(m_now) == std::vector<member>{m_a.self()});
    }

    void leavingIsFinal()
    {
        exchange();
        wire::heartbeat farewell = m_b.compose(m_a.self().vm);
        farewell.set_leaving(true);
        farewell.set_sequence(50);
        m_a.receive(m_b.self(), farewell, m_now);
        exchange(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.fresh(m_now).size());
    }

    void twoProcessesOfOneNameAreTwoMembers()
    {
        exchange();
        heartbeat_table twin{{m_b.self().vm, incarnation{9}}, {}};
        send(twin, m_a);
        send(m_a, twin);
        send(twin, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_a.fresh(m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.countKnown(m_now));
    }

    void lateAndRepeatedOnesAreIgnored()
    {
        exchange();
        const wire::heartbeat again = m_b.compose(m_a.self().vm);
        CPPUNIT_ASSERT(!m_a.receive(m_b.self(), again, m_now));
        exchange();
        CPPUNIT_ASSERT(!m_a.receive(m_b.self(), again, m_now));
    }

    void answerTellsWhenTheQuestionWasSent()
    {
        const time_point sent = m_now;
        send(m_a, m_b);
        m_now += 300ms;
        m_a.beginRound(m_now);
        m_b.beginRound(m_now);
        const auto answered = m_a.receive(m_b.self(), m_b.compose(m_a.self().vm), m_now + 100ms);
        CPPUNIT_ASSERT(answered && *answered == sent);
    }

    void answerToAnEarlierProcessIsNone()
    {
        send(m_a, m_b);
        heartbeat_table restarted{{m_a.self().vm, incarnation{7}}, {}};
        restarted.beginRound(m_now);
        m_b.beginRound(m_now);
        CPPUNIT_ASSERT(!restarted.receive(m_b.self(), m_b.compose(m_a.self().vm), m_now));
    }

    void forgedSequenceIsIgnored()
    {
        wire::heartbeat heartbeat;
        heartbeat.set_sequence(1);
        heartbeat.add_echoes()->set_incarnation(1);
        heartbeat.mutable_echoes(0)->set_sequence(1'000'000);
        CPPUNIT_ASSERT(!m_a.receive(m_b.self(), heartbeat, m_now));
    }

    void countsKnownNames()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.countKnown(m_now));
        m_a.setPeers({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.countKnown(m_now));
        exchange();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.countKnown(m_now + 10min));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.countKnown(m_now + 11min));
    }

    void silentPeersAreDialledAnew()
    {
        CPPUNIT_ASSERT(m_a.takeSilent(m_now + 1s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.takeSilent(m_now + 2s).size());
        CPPUNIT_ASSERT(m_a.takeSilent(m_now + 3s).empty());
        exchange();
        CPPUNIT_ASSERT(m_a.takeSilent(m_now).empty());
    }

    void strangersGetAnswers()
    {
        heartbeat_table stranger{{vm_id{"vm-x"}, incarnation{3}}, {}};
        send(stranger, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.destinations(m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.destinations(m_now + 6s).size());
    }

private:
    void send(heartbeat_table &from, heartbeat_table &to, std::uint64_t rounds = 1)
    {
        for (std::uint64_t round = 0; round < rounds; ++round)
            from.beginRound(m_now);
        to.receive(from.self(), from.compose(to.self().vm), m_now);
    }

    void exchange(std::uint64_t rounds = 1)
    {
        send(m_a, m_b, rounds);
        send(m_b, m_a, rounds);
    }

    time_point m_now{1h};
    heartbeat_table m_a{{vm_id{"vm-a"}, incarnation{1}}, {}};
    heartbeat_table m_b{{vm_id{"vm-b"}, incarnation{2}}, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(heartbeat_table_test);

} // namespace
