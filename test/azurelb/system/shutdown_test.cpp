#include "support/caller_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace {

using namespace azurelb;
using test::caller_load;
using test::running_fleet;

constexpr std::size_t callers{12};
constexpr std::chrono::milliseconds longRunDuration{1500};

/** Every request received its own complete response and ran exactly once. */
void assertNothingLost(running_fleet &fleet, const caller_load::record_list &records)
{
    const auto runs = fleet.runs();
    for (const test::load_record &each : records) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(each.answer.response.body(), 200U, each.answer.status());
        CPPUNIT_ASSERT_EQUAL(each.request.body, each.answer.response.body());
        CPPUNIT_ASSERT_EQUAL(1U, runs.at(each.request.id));
    }
}

caller_load::request_factory ordersOf(const running_fleet &fleet, std::chrono::milliseconds run)
{
    return [&fleet, run](std::size_t number) {
        test::call made = fleet.makeCall("order", "order-" + std::to_string(number));
        made.runDuration = run;
        return made;
    };
}

class shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(requestsInFlightGetTheirAnswers);
    CPPUNIT_TEST(rollingRestartLosesNoRequests);
    CPPUNIT_TEST(exitsCleanlyWhileTimedOutRequestRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    // The runs take longer than the drain delay and grace period of the shutdown.
    void requestsInFlightGetTheirAnswers()
    {
        running_fleet fleet;
        caller_load load{fleet, callers, ordersOf(fleet, longRunDuration)};
        CPPUNIT_ASSERT(test::eventually([&] { return fleet.running() == callers; }));
        fleet.daemon(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(0).waitForExit());
        assertNothingLost(fleet, load.stop());
    }

    void rollingRestartLosesNoRequests()
    {
        constexpr std::size_t requestsPerStep = 100;
        test::fleet_options options;
        options.daemons = 3;
        running_fleet fleet{options};
        caller_load load{fleet, callers, ordersOf(fleet, std::chrono::milliseconds{20})};
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            CPPUNIT_ASSERT(load.waitForServed(requestsPerStep));
            fleet.daemon(index).signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(index).waitForExit());
            CPPUNIT_ASSERT(load.waitForServed(requestsPerStep));
            fleet.restart(index);
            CPPUNIT_ASSERT(test::eventually([&] { return fleet.isReady(index); }));
        }
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep));
        assertNothingLost(fleet, load.stop());
    }

    void exitsCleanlyWhileTimedOutRequestRuns()
    {
        running_fleet fleet;
        test::call made = fleet.makeCall("order", "order-0");
        made.runDuration = std::chrono::seconds{10};
        made.timeout = std::chrono::milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, fleet.send(0, made).runStatus());
        CPPUNIT_ASSERT_EQUAL(1U, fleet.running());
        fleet.daemon(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(0).waitForExit());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);
