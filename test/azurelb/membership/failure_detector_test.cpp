#include <azurelb/membership/failure_detector.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

class failure_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_detector_test);
    CPPUNIT_TEST(echoMakesMemberFresh);
    CPPUNIT_TEST(memberIsNotFreshAfterSuspectTimeout);
    CPPUNIT_TEST(oneWayConnectionIsNotFresh);
    CPPUNIT_TEST(leavingEndsFreshnessAtOnce);
    CPPUNIT_TEST(leavingIsFinal);
    CPPUNIT_TEST(twoProcessesOfOneNameAreTwoMembers);
    CPPUNIT_TEST(ignoresReorderedAndDuplicateHeartbeats);
    CPPUNIT_TEST(receiveReturnsSendTimeOfEchoedHeartbeat);
    CPPUNIT_TEST(ignoresEchoOfAnEarlierProcess);
    CPPUNIT_TEST(ignoresEchoOfUnsentSequence);
    CPPUNIT_TEST(countsKnownVms);
    CPPUNIT_TEST(unresponsivePeersAreRedialled);
    CPPUNIT_TEST(sendsToUnknownSendersForAShortTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_a.setPeers({m_b.self().vm}, m_now);
        m_b.setPeers({m_a.self().vm}, m_now);
    }

    void echoMakesMemberFresh()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.freshMembers(m_now).size());
        exchange();
        const std::vector<member> both{m_a.self(), m_b.self()};
        CPPUNIT_ASSERT(m_a.freshMembers(m_now) == both);
    }

    void memberIsNotFreshAfterSuspectTimeout()
    {
        exchange();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.freshMembers(m_now + 800ms).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.freshMembers(m_now + 801ms).size());
    }

    void oneWayConnectionIsNotFresh()
    {
        for (int round = 0; round < 8; ++round, m_now += 250ms)
            send(m_b, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.freshMembers(m_now).size());
    }

    void leavingEndsFreshnessAtOnce()
    {
        exchange();
        exchange();
        m_b.leave();
        send(m_b, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.freshMembers(m_now).size());
        CPPUNIT_ASSERT(m_a.isLeaving(m_b.self()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.countKnownVms(m_now));
        CPPUNIT_ASSERT(m_b.freshMembers(m_now) == std::vector<member>{m_a.self()});
    }

    void leavingIsFinal()
    {
        exchange();
        wire::heartbeat leaveHeartbeat = m_b.composeHeartbeat(m_a.self().vm);
        leaveHeartbeat.set_leaving(true);
        leaveHeartbeat.set_sequence(50);
        m_a.receiveHeartbeat(m_b.self(), leaveHeartbeat, m_now);
        exchange(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.freshMembers(m_now).size());
    }

    void twoProcessesOfOneNameAreTwoMembers()
    {
        exchange();
        failure_detector duplicate{{m_b.self().vm, incarnation{9}}, {}};
        send(duplicate, m_a);
        send(m_a, duplicate);
        send(duplicate, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_a.freshMembers(m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.countKnownVms(m_now));
    }

    void ignoresReorderedAndDuplicateHeartbeats()
    {
        exchange();
        const wire::heartbeat again = m_b.composeHeartbeat(m_a.self().vm);
        CPPUNIT_ASSERT(!m_a.receiveHeartbeat(m_b.self(), again, m_now));
        exchange();
        CPPUNIT_ASSERT(!m_a.receiveHeartbeat(m_b.self(), again, m_now));
    }

    void receiveReturnsSendTimeOfEchoedHeartbeat()
    {
        const time_point sent = m_now;
        send(m_a, m_b);
        m_now += 300ms;
        m_a.beginRound(m_now);
        m_b.beginRound(m_now);
        const auto echoedSentAt =
            m_a.receiveHeartbeat(m_b.self(), m_b.composeHeartbeat(m_a.self().vm), m_now + 100ms);
        CPPUNIT_ASSERT(echoedSentAt && *echoedSentAt == sent);
    }

    void ignoresEchoOfAnEarlierProcess()
    {
        send(m_a, m_b);
        failure_detector restarted{{m_a.self().vm, incarnation{7}}, {}};
        restarted.beginRound(m_now);
        m_b.beginRound(m_now);
        CPPUNIT_ASSERT(
            !restarted.receiveHeartbeat(m_b.self(), m_b.composeHeartbeat(m_a.self().vm), m_now));
    }

    void ignoresEchoOfUnsentSequence()
    {
        wire::heartbeat heartbeat;
        heartbeat.set_sequence(1);
        heartbeat.add_echoes()->set_incarnation(1);
        heartbeat.mutable_echoes(0)->set_sequence(1'000'000);
        CPPUNIT_ASSERT(!m_a.receiveHeartbeat(m_b.self(), heartbeat, m_now));
    }

    void countsKnownVms()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.countKnownVms(m_now));
        m_a.setPeers({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.countKnownVms(m_now));
        exchange();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.countKnownVms(m_now + 10min));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.countKnownVms(m_now + 11min));
    }

    void unresponsivePeersAreRedialled()
    {
        CPPUNIT_ASSERT(m_a.takeUnresponsivePeers(m_now + 1s).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.takeUnresponsivePeers(m_now + 2s).size());
        CPPUNIT_ASSERT(m_a.takeUnresponsivePeers(m_now + 3s).empty());
        exchange();
        CPPUNIT_ASSERT(m_a.takeUnresponsivePeers(m_now).empty());
    }

    void sendsToUnknownSendersForAShortTime()
    {
        failure_detector unknownSender{{vm_id{"vm-x"}, incarnation{3}}, {}};
        send(unknownSender, m_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_a.destinations(m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_a.destinations(m_now + 6s).size());
    }

private:
    void send(failure_detector &from, failure_detector &to, std::uint64_t rounds = 1)
    {
        for (std::uint64_t round = 0; round < rounds; ++round)
            from.beginRound(m_now);
        to.receiveHeartbeat(from.self(), from.composeHeartbeat(to.self().vm), m_now);
    }

    void exchange(std::uint64_t rounds = 1)
    {
        send(m_a, m_b, rounds);
        send(m_b, m_a, rounds);
    }

    time_point m_now{1h};
    failure_detector m_a{{vm_id{"vm-a"}, incarnation{1}}, {}};
    failure_detector m_b{{vm_id{"vm-b"}, incarnation{2}}, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_detector_test);

} // namespace
