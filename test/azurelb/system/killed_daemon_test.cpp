#include "support/caller_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace {

using namespace azurelb;
using test::caller_load;
using test::running_fleet;

constexpr std::size_t callers{18};
constexpr std::uint32_t teamLimit{6};
constexpr std::size_t requestsPerStep{60};

// A single executor with more slots than the team's limit counts its running requests exactly.
test::fleet_options limitedFleet()
{
    test::fleet_options made;
    made.daemons = 3;
    made.executors = 1;
    made.slots = 32;
    made.teamLimit = teamLimit;
    made.runDuration = std::chrono::milliseconds{20};
    return made;
}

caller_load::request_factory ordersOf(const running_fleet &fleet)
{
    return [&fleet](std::size_t number) {
        return fleet.makeCall("order", "order-" + std::to_string(number));
    };
}

class killed_daemon_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(killed_daemon_test);
    CPPUNIT_TEST(limitHoldsOverKillAndRestartUnderTheSameName);
    CPPUNIT_TEST(limitHoldsOverAPausePastEveryTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitHoldsOverKillAndRestartUnderTheSameName()
    {
        running_fleet fleet{limitedFleet()};
        caller_load load{fleet, callers, ordersOf(fleet)};
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep));
        fleet.daemon(2).signal(SIGKILL);
        CPPUNIT_ASSERT_EQUAL(-SIGKILL, fleet.daemon(2).waitForExit());
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 0));
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 1));
        fleet.restart(2);
        CPPUNIT_ASSERT(test::eventually([&] { return fleet.isReady(2); }));
        const auto serves = [&] {
            return fleet.send(2, fleet.makeCall("order")).status() == 200;
        };
        CPPUNIT_ASSERT(test::eventually(serves));
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep));
        assertLimit(fleet, load);
    }

    // The pause is longer than the lease, heartbeat and freshness timeouts.
    void limitHoldsOverAPausePastEveryTimeout()
    {
        constexpr std::chrono::seconds pause{10};
        running_fleet fleet{limitedFleet()};
        caller_load load{fleet, callers, ordersOf(fleet)};
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep));
        fleet.daemon(2).signal(SIGSTOP);
        const auto resumeAt = std::chrono::steady_clock::now() + pause;
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 0));
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 1));
        std::this_thread::sleep_until(resumeAt);
        fleet.daemon(2).signal(SIGCONT);
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 2));
        assertLimit(fleet, load);
    }

private:
    static void assertLimit(running_fleet &fleet, caller_load &load)
    {
        const auto records = load.stop();
        const std::uint32_t most = fleet.executors().status().most_running();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= teamLimit);
        CPPUNIT_ASSERT_MESSAGE("the limit was reached", most == teamLimit);
        const auto runs = fleet.runs();
        for (const test::load_record &each : records) {
            const auto found = runs.find(each.request.id);
            const std::uint32_t ran = found == runs.end() ? 0 : found->second;
            CPPUNIT_ASSERT_MESSAGE(each.request.id, ran <= 1);
            if (each.answer.runStatus() == "not-run")
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.request.id, 0U, ran);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(killed_daemon_test);
