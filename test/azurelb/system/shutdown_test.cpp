#include "support/caller_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace {

using namespace azurelb;
using test::caller_load;
using test::running_fleet;

constexpr std::size_t callers{12};
constexpr std::chrono::milliseconds longRun{1500};

/** Every request got its own whole answer, and none ran twice. */
void assertNothingLost(running_fleet &fleet, const caller_load::record_list &records)
{
    const auto runs = fleet.runs();
    for (const test::load_record &each : records) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(each.answer.response.body(), 200U, each.answer.status());
        CPPUNIT_ASSERT_EQUAL(each.asked.body, each.answer.response.body());
        CPPUNIT_ASSERT_EQUAL(1U, runs.at(each.asked.id));
    }
}

caller_load::maker ordersOf(const running_fleet &fleet, std::chrono::milliseconds run)
{
    return [&fleet, run](std::size_t number) {
        test::call made = fleet.callOf("order", "order-" + std::to_string(number));
        made.run = run;
        return made;
    };
}

class shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(requestsInFlightGetTheirAnswers);
    CPPUNIT_TEST(rollingRestartLosesNothing);
    CPPUNIT_TEST(endsCleanlyWhileGivenUpWorkRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    // The runs are longer than the delay and the grace of the shutdown.
    void requestsInFlightGetTheirAnswers()
    {
        running_fleet fleet;
        caller_load load{fleet, callers, ordersOf(fleet, longRun)};
        CPPUNIT_ASSERT(test::eventually([&] { return fleet.running() == callers; }));
        fleet.daemon(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(0).waitForExit());
        assertNothingLost(fleet, load.stop());
    }

    void rollingRestartLosesNothing()
    {
        constexpr std::size_t some = 100;
        test::fleet_options options;
        options.daemons = 3;
        running_fleet fleet{options};
        caller_load load{fleet, callers, ordersOf(fleet, std::chrono::milliseconds{20})};
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            CPPUNIT_ASSERT(load.goOn(some));
            fleet.daemon(index).signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(index).waitForExit());
            CPPUNIT_ASSERT(load.goOn(some));
            fleet.restart(index);
            CPPUNIT_ASSERT(test::eventually([&] { return fleet.isReady(index); }));
        }
        CPPUNIT_ASSERT(load.goOn(some));
        assertNothingLost(fleet, load.stop());
    }

    void endsCleanlyWhileGivenUpWorkRuns()
    {
        running_fleet fleet;
        test::call made = fleet.callOf("order", "order-0");
        made.run = std::chrono::seconds{10};
        made.timeout = std::chrono::milliseconds{200};
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, fleet.send(0, made).run());
        CPPUNIT_ASSERT_EQUAL(1U, fleet.running());
        fleet.daemon(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, fleet.daemon(0).waitForExit());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);
