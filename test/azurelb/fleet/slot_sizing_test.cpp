#include <azurelb/fleet/demand_tracker.hpp>
#include <azurelb/fleet/slot_sizing.hpp>

#include <array>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

class slot_sizing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_sizing_test);
    CPPUNIT_TEST(erlangCMatchesItsClosedForm);
    CPPUNIT_TEST(slotsMeetTheTargetAndOneLessDoesNot);
    CPPUNIT_TEST(shortPeaksAreAveragedOut);
    CPPUNIT_TEST_SUITE_END();

public:
    void erlangCMatchesItsClosedForm()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, erlangC(1, 0.5), 1e-12);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3.0, erlangC(2, 1.0), 1e-12);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, erlangC(4, 4.0), 1e-12);
    }

    void slotsMeetTheTargetAndOneLessDoesNot()
    {
        const std::uint32_t slots = requiredSlots(40.0, 500ms, 0ms, 90);
        CPPUNIT_ASSERT(erlangC(slots, 40.0) <= 0.1);
        CPPUNIT_ASSERT(erlangC(slots - 1, 40.0) > 0.1);
        CPPUNIT_ASSERT(requiredSlots(40.0, 500ms, 200ms, 90) < slots);
    }

    void shortPeaksAreAveragedOut()
    {
        demand_tracker tracker;
        time_point now{1h};
        for (int second = 0; second < 1200; ++second, now += 1s)
            tracker.observe(std::array{queue_demand{queue_name{"q"}, 10.0, 1000ms, 0ms}}, now,
                            600s);
        for (int second = 0; second < 6; ++second, now += 1s)
            tracker.observe(std::array{queue_demand{queue_name{"q"}, 50.0, 1000ms, 0ms}}, now,
                            600s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, tracker.find("q")->loadErlangs, 0.5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_sizing_test);

} // namespace
