#include "support/caller_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace {

using namespace azurelb;
using test::caller_load;
using test::running_fleet;
using wire::standin::fault;

constexpr std::size_t callers{9};
constexpr std::size_t requestsPerStep{60};
constexpr std::chrono::seconds generousLimit{30};

test::fleet_options threeDaemons()
{
    test::fleet_options made;
    made.daemons = 3;
    return made;
}

caller_load::request_factory ordersOf(const running_fleet &fleet)
{
    return [&fleet](std::size_t number) {
        return fleet.makeCall("order", "order-" + std::to_string(number));
    };
}

wire::change teamChange(std::uint32_t limit, const std::string &id = {})
{
    wire::change made;
    made.set_id(id);
    made.mutable_put_team()->set_name("bergamo");
    made.mutable_put_team()->set_share(1);
    made.mutable_put_team()->set_limit(limit);
    return made;
}

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

class store_outage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_outage_test);
    CPPUNIT_TEST(everyDaemonServesDuringOutage);
    CPPUNIT_TEST(teamWithoutEarlierRequestsIsServed);
    CPPUNIT_TEST(restartedDaemonServes);
    CPPUNIT_TEST(changeWithLostReplyIsAppliedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyDaemonServesDuringOutage()
    {
        running_fleet fleet{threeDaemons()};
        caller_load load{fleet, callers, ordersOf(fleet)};
        assertAllServe(fleet, load);
        stopStore(fleet);
        assertChangeRefused(fleet);
        // Longer than the freshness limit of data that only the store can confirm.
        const auto longOutage = std::chrono::steady_clock::now() + std::chrono::seconds{5};
        std::this_thread::sleep_until(longOutage);
        assertAllServe(fleet, load);
        for (const test::load_record &each : load.stop())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.answer.response.body(), 200U, each.answer.status());
        fleet.store().clearFault();
        CPPUNIT_ASSERT(
            test::eventually([&] { return fleet.change(2, teamChange(9)).status == 200; }));
    }

    void teamWithoutEarlierRequestsIsServed()
    {
        running_fleet fleet{threeDaemons()};
        stopStore(fleet);
        for (std::size_t index = 0; index < fleet.size(); ++index)
            CPPUNIT_ASSERT(serves(fleet, index));
    }

    void restartedDaemonServes()
    {
        running_fleet fleet{threeDaemons()};
        for (std::size_t index = 0; index < fleet.size(); ++index)
            CPPUNIT_ASSERT(serves(fleet, index));
        stopStore(fleet);
        fleet.daemon(1).signal(SIGKILL);
        CPPUNIT_ASSERT_EQUAL(-SIGKILL, fleet.daemon(1).waitForExit());
        fleet.restart(1);
        CPPUNIT_ASSERT(test::eventually([&] { return fleet.isReady(1); }, generousLimit));
        CPPUNIT_ASSERT(serves(fleet, 1));
    }

    void changeWithLostReplyIsAppliedOnce()
    {
        running_fleet fleet;
        fault lost;
        lost.set_answer_lost(1);
        for (const std::uint32_t limit : {11U, 12U, 13U}) {
            const std::string id = "lost-" + std::to_string(limit);
            fleet.store().setFault(lost);
            const wire::change wanted = teamChange(limit, id);
            // Repeating the change resolves an unknown outcome.
            CPPUNIT_ASSERT(test::eventually([&] { return isMade(fleet, wanted); }));
            const std::string audit = fleet.get(0, "/v1/audit").body;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(audit, std::size_t{1}, occurrences(audit, id + '"'));
        }
    }

private:
    /** Sends the change. After status 503 the change must not be in effect. */
    static bool isMade(running_fleet &fleet, const wire::change &wanted)
    {
        const auto answer = fleet.change(wanted.put_team().limit() % 2, wanted);
        CPPUNIT_ASSERT_MESSAGE(
            answer.body, answer.status == 200 || answer.status == 503 || answer.status == 504);
        if (answer.status == 503) {
            test::operator_answer audit;
            CPPUNIT_ASSERT(test::eventually([&] {
                audit = fleet.get(0, "/v1/audit");
                return audit.status == 200;
            }));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, occurrences(audit.body, wanted.id() + '"'));
        }
        return answer.status == 200;
    }

    static void assertChangeRefused(running_fleet &fleet)
    {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            const auto answer = fleet.change(index, teamChange(8));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 503U, answer.status);
            CPPUNIT_ASSERT(answer.body.find("not-run") != std::string::npos);
        }
    }

    static void assertAllServe(const running_fleet &fleet, const caller_load &load)
    {
        for (std::size_t index = 0; index < fleet.size(); ++index)
            CPPUNIT_ASSERT_MESSAGE(fleet.send(index, fleet.makeCall("order")).response.body()
                                       + fleet.get(index, "/v1/status").body,
                                   load.waitForServed(requestsPerStep, index));
    }

    static bool serves(const running_fleet &fleet, std::size_t index)
    {
        test::call request = fleet.makeCall("order");
        request.timeout = std::chrono::milliseconds{1000};
        return test::eventually([&] { return fleet.send(index, request).status() == 200; },
                                generousLimit);
    }

    static void stopStore(running_fleet &fleet)
    {
        fault outage;
        outage.set_down(true);
        fleet.store().setFault(outage);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(store_outage_test);
