#include "fleet_setup.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::testing;

class fault_tolerance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_tolerance_test);
    CPPUNIT_TEST(opensCircuitOfFailingExecutor);
    CPPUNIT_TEST(keepsCircuitOfSlowExecutorClosed);
    CPPUNIT_TEST(stopsUsingFailingZone);
    CPPUNIT_TEST(usesZoneAgainAfterWithdrawal);
    CPPUNIT_TEST(survivesLossOfDispatcher);
    CPPUNIT_TEST(survivesPauseOfDispatcher);
    CPPUNIT_TEST(cancellationsLeaveNoSlotUnused);
    CPPUNIT_TEST(findsSlotOfAnotherUpstream);
    CPPUNIT_TEST(survivesLossOfDaemon);
    CPPUNIT_TEST_SUITE_END();

public:
    void opensCircuitOfFailingExecutor()
    {
        for (const bool usesCircuitBreakers : {true, false}) {
            fleet_options options = defaultFleet();
            options.share.usesCircuitBreakers = usesCircuitBreakers;
            simulated_fleet fleet{options};
            addUnevenLoad(fleet, 0.1);
            fleet.advance(2s);
            fleet.setFailing(std::size_t{3}, true);
            fleet.advance(1s);
            const std::uint64_t first = fleet.total().failed;
            fleet.advance(9s);
            const std::uint64_t later = fleet.total().failed - first;
            const std::uint64_t before = fleet.attempts(3);
            fleet.setFailing(std::size_t{3}, false);
            fleet.advance(5s);
            const std::uint64_t recovering = fleet.attempts(3);
            fleet.advance(1s);
            const double back = static_cast<double>(fleet.attempts(3) - recovering);
            print(usesCircuitBreakers ? "failing executor" : "failing executor, circuit off",
                  {{"failed in first s", static_cast<double>(first)},
                   {"in next 9 s", static_cast<double>(later)},
                   {"attempts in s 6 after it works", back},
                   {"in 5 s before", static_cast<double>(recovering - before)}});
            CPPUNIT_ASSERT_EQUAL(usesCircuitBreakers, first <= 100);
            CPPUNIT_ASSERT_EQUAL(usesCircuitBreakers, later <= 50);
            CPPUNIT_ASSERT(back >= 50);
        }
    }

    void keepsCircuitOfSlowExecutorClosed()
    {
        fleet_options options = defaultFleet();
        options.meanRun = 2000ms;
        simulated_fleet fleet{options};
        addUnevenLoad(fleet, 0.01);
        fleet.advance(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.findDispatcher()->openCircuits());
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, fleet.findDispatcher()->capacity());
    }

    void stopsUsingFailingZone()
    {
        fleet_options options = defaultFleet();
        options.upstreams = 12;
        simulated_fleet fleet{options};
        const zone_name zone{"bergamo"};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        fleet.setFailing(zone, true);
        double before = fleet.total().usedSeconds;
        fleet.advance(1s);
        const double firstSecond = utilisation(fleet, before, 72, 1);
        const std::uint64_t attempts = fleet.attempts(zone);
        before = fleet.total().usedSeconds;
        fleet.advance(5s);
        const auto probes = static_cast<double>(fleet.attempts(zone) - attempts);
        const double out = utilisation(fleet, before, 72, 5);
        fleet.setFailing(zone, false);
        fleet.advance(5s);
        before = fleet.total().usedSeconds;
        fleet.advance(2s);
        const double back = utilisation(fleet, before, 96, 2);
        print("failing zone",
              {{"first s", firstSecond}, {"out", out}, {"probes", probes}, {"back", back}});
        CPPUNIT_ASSERT(firstSecond >= 0.95);
        CPPUNIT_ASSERT(out >= 0.95);
        CPPUNIT_ASSERT(probes <= 60);
        CPPUNIT_ASSERT(back >= 0.95);
    }

    void usesZoneAgainAfterWithdrawal()
    {
        fleet_options options = defaultFleet();
        options.upstreams = 12;
        simulated_fleet fleet{options};
        const zone_name zone{"trento"};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        fleet.setEligible(zone, false);
        fleet.advance(100ms);
        const std::uint64_t attempts = fleet.attempts(zone);
        double before = fleet.total().usedSeconds;
        fleet.advance(5s);
        const double out = utilisation(fleet, before, 72, 5);
        CPPUNIT_ASSERT_EQUAL(attempts, fleet.attempts(zone));
        fleet.setEligible(zone, true);
        fleet.advance(500ms);
        before = fleet.total().usedSeconds;
        fleet.advance(5s);
        const double back = utilisation(fleet, before, 96, 5);
        print("zone out and back",
              {{"out", out}, {"back", back}, {"most running", fleet.maxRunning()}});
        CPPUNIT_ASSERT(out >= 0.95);
        CPPUNIT_ASSERT(back >= 0.95);
        CPPUNIT_ASSERT(fleet.maxRunning() <= 8);
    }

    void survivesLossOfDispatcher()
    {
        simulated_fleet fleet{defaultFleet()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const std::size_t lost = fleet.dispatcherIndex();
        const double before = fleet.total().usedSeconds;
        fleet.kill(lost);
        fleet.advance(5s);
        const double used = utilisation(fleet, before, allSlots, 5);
        print("dispatcher killed", {{"lost s of work", 5 * (1 - used)}});
        CPPUNIT_ASSERT(fleet.dispatcherIndex() != lost);
        CPPUNIT_ASSERT(5 * (1 - used) < 1);
    }

    void survivesPauseOfDispatcher()
    {
        simulated_fleet fleet{defaultFleet()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const double before = fleet.total().usedSeconds;
        fleet.pause(fleet.dispatcherIndex(), 4s);
        fleet.advance(8s);
        const double used = utilisation(fleet, before, allSlots, 8);
        fleet.resetPeaks();
        fleet.advance(2s);
        print("dispatcher paused 4 s",
              {{"lost s of work", 8 * (1 - used)}, {"most running after", fleet.maxRunning()}});
        CPPUNIT_ASSERT(8 * (1 - used) < 1);
        CPPUNIT_ASSERT(fleet.maxRunning() <= 8);
    }

    void cancellationsLeaveNoSlotUnused()
    {
        simulated_fleet fleet{defaultFleet()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const double before = fleet.total().usedSeconds;
        for (int wave = 0; wave < 10; ++wave) {
            fleet.cancelWaiting(0.9);
            fleet.advance(500ms);
        }
        const double used = utilisation(fleet, before, allSlots, 5);
        print("cancellations",
              {{"used", used}, {"cancelled", static_cast<double>(fleet.total().cancelled)}});
        CPPUNIT_ASSERT(used >= 0.95);
        CPPUNIT_ASSERT(fleet.total().cancelled > 1000);
    }

    /** Each daemon holds one idle slot, sometimes on the upstream that the request avoids. */
    void findsSlotOfAnotherUpstream()
    {
        fleet_options options = defaultFleet();
        options.daemons = 2;
        options.upstreams = 2;
        options.slots = 1;
        simulated_fleet fleet{options};
        for (std::size_t count = 0; count < 8; ++count) {
            fleet.advance(1s);
            const vm_id avoided{"executor-" + std::to_string(count / 2 % 2)};
            (void)fleet.sendRequest(count % 2, team_name{"middle"}, 500ms, {avoided});
        }
        fleet.advance(1s);
        print("avoided upstream", {{"longest wait ms", toMilliseconds(fleet.wait(1))}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, fleet.total().answered);
        CPPUNIT_ASSERT(fleet.wait(1) <= 100ms);
    }

    void survivesLossOfDaemon()
    {
        simulated_fleet fleet{defaultFleet()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const double before = fleet.total().usedSeconds;
        fleet.kill(fleet.dispatcherIndex() == 0 ? 1 : 0);
        fleet.advance(5s);
        const double lost = 5 * (1 - utilisation(fleet, before, allSlots, 5));
        print("other daemon killed", {{"lost s of work", lost}});
        CPPUNIT_ASSERT(lost < 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_tolerance_test);

} // namespace
