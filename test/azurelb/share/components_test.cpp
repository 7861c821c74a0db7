#include "mock_limits.hpp"

#include <azurelb/share/circuit_breaker.hpp>
#include <azurelb/share/dispatcher_client.hpp>
#include <azurelb/share/rights_broker.hpp>
#include <azurelb/share/share_codec.hpp>
#include <azurelb/share/weighted_demand.hpp>
#include <azurelb/wire/share.pb.h>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::testing;
using namespace std::chrono_literals;

const time_point start{1h};
const vm_id executor{"executor"};
const team_name team{"team"};

class components_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(components_test);
    CPPUNIT_TEST(allocatesByWeightUpToDemand);
    CPPUNIT_TEST(opensCircuitOnFailuresInARow);
    CPPUNIT_TEST(closesCircuitByOneRequestThenDoubles);
    CPPUNIT_TEST(keepsCircuitClosedOnRefusals);
    CPPUNIT_TEST(encodesReportsAndAssignments);
    CPPUNIT_TEST(startsOnAssignedSlot);
    CPPUNIT_TEST(ignoresAssignmentOfOldTerm);
    CPPUNIT_TEST(startsNothingAfterLeaseTime);
    CPPUNIT_TEST(startsNothingUnconfirmed);
    CPPUNIT_TEST(startsNothingWithoutRight);
    CPPUNIT_TEST(startsNothingOnOtherUpstream);
    CPPUNIT_TEST(refusesWithoutUpstream);
    CPPUNIT_TEST(refusesWhenFullOrStopping);
    CPPUNIT_TEST(coolsDownFailedSlot);
    CPPUNIT_TEST_SUITE_END();

public:
    void allocatesByWeightUpToDemand()
    {
        weighted_demand demands[]{{1, 10}, {2, 1}, {1, 10}};
        allocateMaxMinFair(demands, 9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, demands[0].allocated, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, demands[1].allocated, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, demands[2].allocated, 1e-9);
    }

    void opensCircuitOnFailuresInARow()
    {
        circuit_breaker breaker;
        breaker.record({executor, 100, 4, 0}, start);
        breaker.record({executor, 0, 4, 0}, start);
        CPPUNIT_ASSERT_EQUAL(8U, breaker.allowedSlots(8, start));
        breaker.record({executor, 0, 1, 0}, start);
        CPPUNIT_ASSERT_EQUAL(0U, breaker.allowedSlots(8, start));
    }

    void closesCircuitByOneRequestThenDoubles()
    {
        circuit_breaker breaker;
        breaker.record({executor, 0, 5, 0}, start);
        CPPUNIT_ASSERT_EQUAL(0U, breaker.allowedSlots(8, start + 249ms));
        CPPUNIT_ASSERT_EQUAL(1U, breaker.allowedSlots(8, start + 250ms));
        breaker.record({executor, 0, 1, 0}, start + 250ms);
        CPPUNIT_ASSERT_EQUAL(0U, breaker.allowedSlots(8, start + 749ms));
        CPPUNIT_ASSERT_EQUAL(1U, breaker.allowedSlots(8, start + 750ms));
        breaker.record({executor, 1, 0, 0}, start + 750ms);
        CPPUNIT_ASSERT_EQUAL(2U, breaker.allowedSlots(8, start + 750ms));
        breaker.record({executor, 2, 0, 0}, start + 750ms);
        CPPUNIT_ASSERT_EQUAL(8U, breaker.allowedSlots(8, start + 750ms));
    }

    void keepsCircuitClosedOnRefusals()
    {
        circuit_breaker breaker;
        breaker.record({executor, 0, 0, 100}, start);
        CPPUNIT_ASSERT(!breaker.isOpen());
        CPPUNIT_ASSERT_EQUAL(4U, breaker.allowedSlots(8, start));
        CPPUNIT_ASSERT_EQUAL(8U, breaker.allowedSlots(8, start + 50ms));
    }

    void encodesReportsAndAssignments()
    {
        slot_report report{1, 2, 3, 4us, true, {executor}, {{team, 5, 6, 7, 8us}}};
        report.slots.push_back({slot_id{9}, executor, true});
        report.outcomes.push_back({executor, 10, 11, 12});
        wire::share_report message;
        encode(report, message);
        wire::share_report reencoded;
        encode(decode(message), reencoded);
        CPPUNIT_ASSERT_EQUAL(message.SerializeAsString(), reencoded.SerializeAsString());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, reencoded.teams(0).used_us());
        wire::share_assignment assignment;
        encode(assigned(1, 7), assignment);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, decode(assignment).sequence);
        CPPUNIT_ASSERT(decode(assignment).slots[0].vm == executor);
        CPPUNIT_ASSERT_EQUAL(1.5, decode(assignment).weights[0].weight);
    }

    void startsOnAssignedSlot()
    {
        m_client.apply(assigned(1, 1), start);
        sendRequest(1);
        CPPUNIT_ASSERT_EQUAL(1, countGrants(start));
        CPPUNIT_ASSERT_EQUAL(1U, m_limits.taken(team));
        CPPUNIT_ASSERT(m_client.release(m_lease, attempt_outcome::answered, start + 5ms));
        CPPUNIT_ASSERT(!m_client.release(m_lease, attempt_outcome::answered, start + 5ms));
        CPPUNIT_ASSERT_EQUAL(0U, m_limits.taken(team));
    }

    void ignoresAssignmentOfOldTerm()
    {
        m_client.changeDispatcher();
        m_client.apply(assigned(1, 1), start);
        sendRequest(1);
        CPPUNIT_ASSERT_EQUAL(0, countGrants(start));
        m_client.apply(assigned(2, 1), start);
        CPPUNIT_ASSERT_EQUAL(1, countGrants(start));
    }

    void startsNothingAfterLeaseTime()
    {
        m_client.apply(assigned(1, 1), start);
        sendRequest(1);
        CPPUNIT_ASSERT_EQUAL(0, countGrants(start + 2s));
        m_client.cancel(ticket_id{1});
        sendRequest(2);
        CPPUNIT_ASSERT_EQUAL(1, countGrants(start + 1999ms));
    }

    void startsNothingUnconfirmed()
    {
        m_client.apply(assigned(1, 1), start);
        m_client.setConfirmed(false);
        sendRequest(1);
        CPPUNIT_ASSERT_EQUAL(0, countGrants(start));
        CPPUNIT_ASSERT(slot_refusal::unconfirmed == lastRefusal(start + 10s));
    }

    void startsNothingWithoutRight()
    {
        m_limits.setBound(team, 0);
        m_client.apply(assigned(1, 1), start);
        sendRequest(1);
        CPPUNIT_ASSERT_EQUAL(0, countGrants(start));
        m_rights.flush();
        CPPUNIT_ASSERT_EQUAL(1U, m_limits.demand(team));
        const auto report = m_client.takeReport(start);
        CPPUNIT_ASSERT_EQUAL(0U, report->teams[0].backed);
        CPPUNIT_ASSERT(slot_refusal::late == lastRefusal(start + 10s));
    }

    void startsNothingOnOtherUpstream()
    {
        m_client.apply(assigned(1, 1), start);
        std::vector<upstream_vm> others = upstreams();
        others[0].vm = vm_id{"other"};
        m_client.setUpstreams(others, start);
        sendRequest(1);
        CPPUNIT_ASSERT_EQUAL(0, countGrants(start));
    }

    void refusesWithoutUpstream()
    {
        m_client.setUpstreams({}, start);
        sendRequest(1);
        CPPUNIT_ASSERT(slot_refusal::none == lastRefusal(start + 1999ms));
        CPPUNIT_ASSERT(slot_refusal::no_upstream == lastRefusal(start + 2s));
    }

    void refusesWhenFullOrStopping()
    {
        m_options.maxWaitingPerTeam = 1;
        sendRequest(1);
        sendRequest(2);
        CPPUNIT_ASSERT(slot_refusal::full == lastRefusal(start));
        m_client.drain();
        sendRequest(3);
        CPPUNIT_ASSERT(slot_refusal::stopping == lastRefusal(start));
    }

    void coolsDownFailedSlot()
    {
        m_client.apply(assigned(1, 1), start);
        sendRequest(1);
        CPPUNIT_ASSERT_EQUAL(1, countGrants(start));
        m_client.release(m_lease, attempt_outcome::failed, start + 1ms);
        sendRequest(2);
        CPPUNIT_ASSERT_EQUAL(0, countGrants(start + 20ms));
        CPPUNIT_ASSERT_EQUAL(1, countGrants(start + 21ms));
    }

private:
    [[nodiscard]] static slot_assignment assigned(std::uint64_t term, std::uint64_t sequence)
    {
        slot_assignment made;
        made.term = term;
        made.sequence = sequence;
        made.reportSentAt =
            std::chrono::duration_cast<std::chrono::microseconds>(start.time_since_epoch());
        made.slots.push_back({slot_id{1}, executor});
        made.weights.push_back({team, 1.5});
        return made;
    }

    void sendRequest(std::uint64_t ticket)
    {
        m_client.request(ticket_id{ticket}, {queue_name{"queue"}, team, start + 10s, {}}, start);
    }

    int countGrants(time_point now)
    {
        m_client.poll(now);
        int count = 0;
        for (const ticket_grant &each : m_client.takeGrants()) {
            m_lease = each.grant.lease;
            count += each.grant.refusal == slot_refusal::none ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] slot_refusal lastRefusal(time_point now)
    {
        m_client.poll(now);
        const auto all = m_client.takeGrants();
        return all.empty() ? slot_refusal::none : all.back().grant.refusal;
    }

    [[nodiscard]] static std::vector<upstream_vm> upstreams()
    {
        return {{executor, "127.0.0.1:1", zone_name{"milano"}, rack_name{"rack"}, 8}};
    }

    share_options m_options{};
    mock_limits m_limits{};
    rights_broker m_rights{m_limits};
    dispatcher_client m_client{m_options, m_rights, 1};
    lease_id m_lease{};

public:
    void setUp() override { m_client.setUpstreams(upstreams(), start); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(components_test);

} // namespace
