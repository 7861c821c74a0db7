#include "measure.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::testing;

class failure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_test);
    CPPUNIT_TEST(breaksFailingExecutor);
    CPPUNIT_TEST(keepsSlowExecutor);
    CPPUNIT_TEST(leavesFailingZone);
    CPPUNIT_TEST(zoneGoesOutAndReturns);
    CPPUNIT_TEST(survivesLossOfDispatcher);
    CPPUNIT_TEST(survivesPauseOfDispatcher);
    CPPUNIT_TEST(cancellationsCostNoSlot);
    CPPUNIT_TEST(findsSlotOfAnotherUpstream);
    CPPUNIT_TEST(survivesLossOfDaemon);
    CPPUNIT_TEST_SUITE_END();

public:
    void breaksFailingExecutor()
    {
        for (const bool isBreaking : {true, false}) {
            fleet_options options = usual();
            options.share.isBreaking = isBreaking;
            virtual_fleet fleet{options};
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
            print(isBreaking ? "failing executor" : "failing executor, circuit off",
                  {{"failed in first s", static_cast<double>(first)},
                   {"in next 9 s", static_cast<double>(later)},
                   {"attempts in s 6 after it works", back},
                   {"in 5 s before", static_cast<double>(recovering - before)}});
            CPPUNIT_ASSERT_EQUAL(isBreaking, first <= 100);
            CPPUNIT_ASSERT_EQUAL(isBreaking, later <= 50);
            CPPUNIT_ASSERT(back >= 50);
        }
    }

    void keepsSlowExecutor()
    {
        fleet_options options = usual();
        options.meanRun = 2000ms;
        virtual_fleet fleet{options};
        addUnevenLoad(fleet, 0.01);
        fleet.advance(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.findDispatcher()->openCircuits());
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, fleet.findDispatcher()->capacity());
    }

    void leavesFailingZone()
    {
        fleet_options options = usual();
        options.upstreams = 12;
        virtual_fleet fleet{options};
        const zone_name zone{"bergamo"};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        fleet.setFailing(zone, true);
        double before = fleet.total().usedSeconds;
        fleet.advance(1s);
        const double firstSecond = usedPart(fleet, before, 72, 1);
        const std::uint64_t attempts = fleet.attempts(zone);
        before = fleet.total().usedSeconds;
        fleet.advance(5s);
        const auto probes = static_cast<double>(fleet.attempts(zone) - attempts);
        const double out = usedPart(fleet, before, 72, 5);
        fleet.setFailing(zone, false);
        fleet.advance(5s);
        before = fleet.total().usedSeconds;
        fleet.advance(2s);
        const double back = usedPart(fleet, before, 96, 2);
        print("failing zone",
              {{"first s", firstSecond}, {"out", out}, {"probes", probes}, {"back", back}});
        CPPUNIT_ASSERT(firstSecond >= 0.95);
        CPPUNIT_ASSERT(out >= 0.95);
        CPPUNIT_ASSERT(probes <= 60);
        CPPUNIT_ASSERT(back >= 0.95);
    }

    void zoneGoesOutAndReturns()
    {
        fleet_options options = usual();
        options.upstreams = 12;
        virtual_fleet fleet{options};
        const zone_name zone{"trento"};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        fleet.setEligible(zone, false);
        fleet.advance(100ms);
        const std::uint64_t attempts = fleet.attempts(zone);
        double before = fleet.total().usedSeconds;
        fleet.advance(5s);
        const double out = usedPart(fleet, before, 72, 5);
        CPPUNIT_ASSERT_EQUAL(attempts, fleet.attempts(zone));
        fleet.setEligible(zone, true);
        fleet.advance(500ms);
        before = fleet.total().usedSeconds;
        fleet.advance(5s);
        const double back = usedPart(fleet, before, 96, 5);
        print("zone out and back",
              {{"out", out}, {"back", back}, {"most running", fleet.mostRunning()}});
        CPPUNIT_ASSERT(out >= 0.95);
        CPPUNIT_ASSERT(back >= 0.95);
        CPPUNIT_ASSERT(fleet.mostRunning() <= 8);
    }

    void survivesLossOfDispatcher()
    {
        virtual_fleet fleet{usual()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const std::size_t lost = fleet.dispatcherIndex();
        const double before = fleet.total().usedSeconds;
        fleet.kill(lost);
        fleet.advance(5s);
        const double used = usedPart(fleet, before, allSlots, 5);
        print("dispatcher killed", {{"lost s of work", 5 * (1 - used)}});
        CPPUNIT_ASSERT(fleet.dispatcherIndex() != lost);
        CPPUNIT_ASSERT(5 * (1 - used) < 1);
    }

    void survivesPauseOfDispatcher()
    {
        virtual_fleet fleet{usual()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const double before = fleet.total().usedSeconds;
        fleet.pause(fleet.dispatcherIndex(), 4s);
        fleet.advance(8s);
        const double used = usedPart(fleet, before, allSlots, 8);
        fleet.resetPeaks();
        fleet.advance(2s);
        print("dispatcher paused 4 s",
              {{"lost s of work", 8 * (1 - used)}, {"most running after", fleet.mostRunning()}});
        CPPUNIT_ASSERT(8 * (1 - used) < 1);
        CPPUNIT_ASSERT(fleet.mostRunning() <= 8);
    }

    void cancellationsCostNoSlot()
    {
        virtual_fleet fleet{usual()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const double before = fleet.total().usedSeconds;
        for (int wave = 0; wave < 10; ++wave) {
            fleet.cancelWaiting(0.9);
            fleet.advance(500ms);
        }
        const double used = usedPart(fleet, before, allSlots, 5);
        print("cancellations",
              {{"used", used}, {"cancelled", static_cast<double>(fleet.total().cancelled)}});
        CPPUNIT_ASSERT(used >= 0.95);
        CPPUNIT_ASSERT(fleet.total().cancelled > 1000);
    }

    /** Each daemon holds one idle slot, and now and then the one that a request must avoid. */
    void findsSlotOfAnotherUpstream()
    {
        fleet_options options = usual();
        options.daemons = 2;
        options.upstreams = 2;
        options.slots = 1;
        virtual_fleet fleet{options};
        for (std::size_t count = 0; count < 8; ++count) {
            fleet.advance(1s);
            const vm_id avoided{"executor-" + std::to_string(count / 2 % 2)};
            (void)fleet.ask(count % 2, team_name{"middle"}, 500ms, {avoided});
        }
        fleet.advance(1s);
        print("avoided upstream", {{"longest wait ms", toMilliseconds(fleet.wait(1))}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, fleet.total().answered);
        CPPUNIT_ASSERT(fleet.wait(1) <= 100ms);
    }

    void survivesLossOfDaemon()
    {
        virtual_fleet fleet{usual()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(2s);
        const double before = fleet.total().usedSeconds;
        fleet.kill(fleet.dispatcherIndex() == 0 ? 1 : 0);
        fleet.advance(5s);
        const double lost = 5 * (1 - usedPart(fleet, before, allSlots, 5));
        print("other daemon killed", {{"lost s of work", lost}});
        CPPUNIT_ASSERT(lost < 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_test);

} // namespace
