#include "mock_limits.hpp"

#include <azurelb/share/circuit.hpp>
#include <azurelb/share/claim.hpp>
#include <azurelb/share/lease_client.hpp>
#include <azurelb/share/right_ledger.hpp>
#include <azurelb/share/share_codec.hpp>
#include <azurelb/wire/share.pb.h>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::testing;
using namespace std::chrono_literals;

const time_point start{1h};
const vm_id executor{"executor"};
const team_name team{"team"};

class parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parts_test);
    CPPUNIT_TEST(dividesByWeightUpToClaims);
    CPPUNIT_TEST(opensCircuitOnFailuresInARow);
    CPPUNIT_TEST(closesCircuitByOneRequestThenDoubles);
    CPPUNIT_TEST(keepsCircuitClosedOnRefusals);
    CPPUNIT_TEST(carriesReportsAndAssignments);
    CPPUNIT_TEST(startsOnAssignedSlot);
    CPPUNIT_TEST(ignoresAssignmentOfOldTerm);
    CPPUNIT_TEST(startsNothingAfterLeaseTime);
    CPPUNIT_TEST(startsNothingUnconfirmed);
    CPPUNIT_TEST(startsNothingWithoutRight);
    CPPUNIT_TEST(startsNothingOnOtherUpstream);
    CPPUNIT_TEST(refusesWithoutUpstream);
    CPPUNIT_TEST(refusesWhenFullOrStopping);
    CPPUNIT_TEST(restsFailedSlot);
    CPPUNIT_TEST_SUITE_END();

public:
    void dividesByWeightUpToClaims()
    {
        claim claims[]{{1, 10}, {2, 1}, {1, 10}};
        divide(claims, 9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, claims[0].given, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, claims[1].given, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, claims[2].given, 1e-9);
    }

    void opensCircuitOnFailuresInARow()
    {
        circuit health;
        health.record({executor, 100, 4, 0}, start);
        health.record({executor, 0, 4, 0}, start);
        CPPUNIT_ASSERT_EQUAL(8U, health.allowed(8, start));
        health.record({executor, 0, 1, 0}, start);
        CPPUNIT_ASSERT_EQUAL(0U, health.allowed(8, start));
    }

    void closesCircuitByOneRequestThenDoubles()
    {
        circuit health;
        health.record({executor, 0, 5, 0}, start);
        CPPUNIT_ASSERT_EQUAL(0U, health.allowed(8, start + 249ms));
        CPPUNIT_ASSERT_EQUAL(1U, health.allowed(8, start + 250ms));
        health.record({executor, 0, 1, 0}, start + 250ms);
        CPPUNIT_ASSERT_EQUAL(0U, health.allowed(8, start + 749ms));
        CPPUNIT_ASSERT_EQUAL(1U, health.allowed(8, start + 750ms));
        health.record({executor, 1, 0, 0}, start + 750ms);
        CPPUNIT_ASSERT_EQUAL(2U, health.allowed(8, start + 750ms));
        health.record({executor, 2, 0, 0}, start + 750ms);
        CPPUNIT_ASSERT_EQUAL(8U, health.allowed(8, start + 750ms));
    }

    void keepsCircuitClosedOnRefusals()
    {
        circuit health;
        health.record({executor, 0, 0, 100}, start);
        CPPUNIT_ASSERT(!health.isOpen());
        CPPUNIT_ASSERT_EQUAL(4U, health.allowed(8, start));
        CPPUNIT_ASSERT_EQUAL(8U, health.allowed(8, start + 50ms));
    }

    void carriesReportsAndAssignments()
    {
        slot_report report{1, 2, 3, 4us, true, {executor}, {{team, 5, 6, 7, 8us}}};
        report.slots.push_back({slot_id{9}, executor, true});
        report.outcomes.push_back({executor, 10, 11, 12});
        wire::share_report message;
        encode(report, message);
        wire::share_report again;
        encode(decode(message), again);
        CPPUNIT_ASSERT_EQUAL(message.SerializeAsString(), again.SerializeAsString());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, again.teams(0).used_us());
        wire::share_assignment assignment;
        encode(assigned(1, 7), assignment);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, decode(assignment).sequence);
        CPPUNIT_ASSERT(decode(assignment).slots[0].vm == executor);
        CPPUNIT_ASSERT_EQUAL(1.5, decode(assignment).weights[0].weight);
    }

    void startsOnAssignedSlot()
    {
        m_client.apply(assigned(1, 1), start);
        ask(1);
        CPPUNIT_ASSERT_EQUAL(1, granted(start));
        CPPUNIT_ASSERT_EQUAL(1U, m_limits.taken(team));
        CPPUNIT_ASSERT(m_client.release(m_lease, attempt_outcome::answered, start + 5ms));
        CPPUNIT_ASSERT(!m_client.release(m_lease, attempt_outcome::answered, start + 5ms));
        CPPUNIT_ASSERT_EQUAL(0U, m_limits.taken(team));
    }

    void ignoresAssignmentOfOldTerm()
    {
        m_client.changeDispatcher();
        m_client.apply(assigned(1, 1), start);
        ask(1);
        CPPUNIT_ASSERT_EQUAL(0, granted(start));
        m_client.apply(assigned(2, 1), start);
        CPPUNIT_ASSERT_EQUAL(1, granted(start));
    }

    void startsNothingAfterLeaseTime()
    {
        m_client.apply(assigned(1, 1), start);
        ask(1);
        CPPUNIT_ASSERT_EQUAL(0, granted(start + 2s));
        m_client.cancel(ticket_id{1});
        ask(2);
        CPPUNIT_ASSERT_EQUAL(1, granted(start + 1999ms));
    }

    void startsNothingUnconfirmed()
    {
        m_client.apply(assigned(1, 1), start);
        m_client.setConfirmed(false);
        ask(1);
        CPPUNIT_ASSERT_EQUAL(0, granted(start));
        CPPUNIT_ASSERT(slot_refusal::unconfirmed == refusal(start + 10s));
    }

    void startsNothingWithoutRight()
    {
        m_limits.setBound(team, 0);
        m_client.apply(assigned(1, 1), start);
        ask(1);
        CPPUNIT_ASSERT_EQUAL(0, granted(start));
        m_rights.flush();
        CPPUNIT_ASSERT_EQUAL(1U, m_limits.demand(team));
        const auto report = m_client.takeReport(start);
        CPPUNIT_ASSERT_EQUAL(0U, report->teams[0].backed);
        CPPUNIT_ASSERT(slot_refusal::late == refusal(start + 10s));
    }

    void startsNothingOnOtherUpstream()
    {
        m_client.apply(assigned(1, 1), start);
        std::vector<upstream_vm> others = upstreams();
        others[0].vm = vm_id{"other"};
        m_client.setUpstreams(others, start);
        ask(1);
        CPPUNIT_ASSERT_EQUAL(0, granted(start));
    }

    void refusesWithoutUpstream()
    {
        m_client.setUpstreams({}, start);
        ask(1);
        CPPUNIT_ASSERT(slot_refusal::none == refusal(start + 1999ms));
        CPPUNIT_ASSERT(slot_refusal::no_upstream == refusal(start + 2s));
    }

    void refusesWhenFullOrStopping()
    {
        m_options.waitingPerTeam = 1;
        ask(1);
        ask(2);
        CPPUNIT_ASSERT(slot_refusal::full == refusal(start));
        m_client.drain();
        ask(3);
        CPPUNIT_ASSERT(slot_refusal::stopping == refusal(start));
    }

    void restsFailedSlot()
    {
        m_client.apply(assigned(1, 1), start);
        ask(1);
        CPPUNIT_ASSERT_EQUAL(1, granted(start));
        m_client.release(m_lease, attempt_outcome::failed, start + 1ms);
        ask(2);
        CPPUNIT_ASSERT_EQUAL(0, granted(start + 20ms));
        CPPUNIT_ASSERT_EQUAL(1, granted(start + 21ms));
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

    void ask(std::uint64_t ticket)
    {
        m_client.request(ticket_id{ticket}, {queue_name{"queue"}, team, start + 10s, {}}, start);
    }

    int granted(time_point now)
    {
        m_client.poll(now);
        int count = 0;
        for (const ticket_grant &each : m_client.takeGrants()) {
            m_lease = each.grant.lease;
            count += each.grant.refusal == slot_refusal::none ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] slot_refusal refusal(time_point now)
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
    right_ledger m_rights{m_limits};
    lease_client m_client{m_options, m_rights, 1};
    lease_id m_lease{};

public:
    void setUp() override { m_client.setUpstreams(upstreams(), start); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parts_test);

} // namespace
