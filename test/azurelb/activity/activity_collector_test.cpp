#include <azurelb/activity/activity_collector.hpp>
#include <azurelb/activity/activity_recorder.hpp>
#include <azurelb/wire/activity.pb.h>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

const queue_name queue{"plans"};
const vm_id vm{"vm-1"};
const member first{vm_id{"entry-1"}, incarnation{1}};
const member second{vm_id{"entry-2"}, incarnation{2}};
const std::vector<member> members{first, second};
constexpr time_point start{1h};

class activity_collector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(activity_collector_test);
    CPPUNIT_TEST(sumsRunningRequestsOfAllMembers);
    CPPUNIT_TEST(returnsNoCountWhileAReportIsMissing);
    CPPUNIT_TEST(ignoresReportRequestedEarlier);
    CPPUNIT_TEST(countsDemandDespiteLostReports);
    CPPUNIT_TEST_SUITE_END();

public:
    void sumsRunningRequestsOfAllMembers()
    {
        m_recorder.recordStart(queue, vm, 1ms);
        m_recorder.recordStart(queue, vm, 1ms);
        report(first, start);
        m_recorder.recordEnd(queue, vm, 10ms);
        report(second, start + 1s);
        const vm_observation seen = m_collector.observe(vm, members, start + 2s);
        CPPUNIT_ASSERT(seen.running == 3U);
        CPPUNIT_ASSERT(seen.at == start);
    }

    void returnsNoCountWhileAReportIsMissing()
    {
        report(first, start);
        CPPUNIT_ASSERT(!m_collector.observe(vm, members, start).running);
        report(second, start);
        CPPUNIT_ASSERT(m_collector.observe(vm, members, start).running == 0U);
        const time_point late = start + activity_collector::maxReportAge + 1s;
        CPPUNIT_ASSERT(!m_collector.observe(vm, members, late).running);
    }

    void ignoresReportRequestedEarlier()
    {
        m_recorder.recordStart(queue, vm, 1ms);
        report(first, start + 2s);
        m_recorder.recordEnd(queue, vm, 10ms);
        report(first, start + 1s);
        CPPUNIT_ASSERT(m_collector.observe(vm, {&first, 1}, start + 2s).running == 1U);
    }

    void countsDemandDespiteLostReports()
    {
        report(first, start);
        (void)m_collector.takeDemand(start);
        for (int request = 0; request < 40; ++request) {
            m_recorder.recordArrival(queue);
            m_recorder.recordStart(queue, vm, 20ms);
            m_recorder.recordEnd(queue, vm, 50ms);
        }
        // The reports of the seconds before this one were lost.
        report(first, start + 4s);
        const auto demand = m_collector.takeDemand(start + 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, demand.size());
        CPPUNIT_ASSERT_EQUAL(10.0, demand[0].arrivalsPerSecond);
        CPPUNIT_ASSERT(demand[0].runTime == 50ms);
        CPPUNIT_ASSERT(demand[0].wait == 20ms);
    }

private:
    void report(const member &from, time_point askedAt)
    {
        wire::activity_report written;
        m_recorder.writeReport(written);
        m_collector.update(from, written, askedAt);
    }

    activity_recorder m_recorder{};
    activity_collector m_collector{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(activity_collector_test);

} // namespace
