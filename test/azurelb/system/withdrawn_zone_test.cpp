#include "support/caller_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace {

using namespace azurelb;
using test::caller_load;
using test::running_fleet;

constexpr std::size_t callers{12};
constexpr std::size_t requestsPerStep{60};
/** Time limit within which a change must stop new starts, even at a paused daemon. */
constexpr std::chrono::seconds changeDeadline{3};

test::fleet_options threeDaemons()
{
    test::fleet_options made;
    made.daemons = 3;
    return made;
}

caller_load::request_factory plansOf(const running_fleet &fleet)
{
    return [&fleet](std::size_t number) {
        return fleet.makeCall("plan", "plan-" + std::to_string(number));
    };
}

/** Pauses daemon 2 under load, makes the change through daemon 0 and waits for the limit. */
void changeWhilePaused(running_fleet &fleet, caller_load &load, const wire::change &wanted)
{
    CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 2));
    fleet.daemon(2).signal(SIGSTOP);
    CPPUNIT_ASSERT_EQUAL(200U, fleet.change(0, wanted).status);
    const auto bound = std::chrono::steady_clock::now() + changeDeadline;
    CPPUNIT_ASSERT(fleet.waitForGeneration(7, {0, 1}));
    std::this_thread::sleep_until(bound);
}

class withdrawn_zone_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(withdrawn_zone_test);
    CPPUNIT_TEST(pausedDaemonStartsNothingInAZoneThatIsOut);
    CPPUNIT_TEST(pausedDaemonRejectsWithdrawnKey);
    CPPUNIT_TEST_SUITE_END();

public:
    void pausedDaemonStartsNothingInAZoneThatIsOut()
    {
        running_fleet fleet{threeDaemons()};
        caller_load load{fleet, callers, plansOf(fleet)};
        wire::change order;
        order.set_zone_out("milano");
        // The budget of the pool does not allow the loss of a zone.
        order.set_force(true);
        changeWhilePaused(fleet, load, order);
        // Executor 0 is the only one in this zone.
        const std::uint32_t before = fleet.executors().status(0).requests();
        fleet.daemon(2).signal(SIGCONT);
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 2));
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep, 0));
        load.stop();
        CPPUNIT_ASSERT_EQUAL(before, fleet.executors().status(0).requests());
        order.set_zone_in("milano");
        CPPUNIT_ASSERT_EQUAL(200U, fleet.change(1, order).status);
        CPPUNIT_ASSERT(test::eventually([&] {
            (void)fleet.send(2, fleet.makeCall("plan"));
            return fleet.executors().status(0).requests() > before;
        }));
    }

    void pausedDaemonRejectsWithdrawnKey()
    {
        running_fleet fleet{threeDaemons()};
        caller_load load{fleet, callers, plansOf(fleet)};
        wire::change order;
        order.set_withdraw_key("key-0");
        changeWhilePaused(fleet, load, order);
        const auto before = fleet.runs();
        fleet.daemon(2).signal(SIGCONT);
        const auto refused = [&] {
            return fleet.send(2, fleet.makeCall("plan", "late")).status() == 401;
        };
        CPPUNIT_ASSERT(test::eventually(refused));
        load.stop();
        const auto after = fleet.runs();
        std::string added = "runs since the pause:";
        for (const auto &[id, count] : after) {
            if (!before.contains(id))
                added += ' ' + id;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(added, before.size(), after.size());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(withdrawn_zone_test);
