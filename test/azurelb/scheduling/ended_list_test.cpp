#include "scheduler_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char jobA[]{"aaaaaaaaaaaaaaaa"};
constexpr char jobB[]{"bbbbbbbbbbbbbbbb"};
constexpr std::size_t listedEnds{4};

scheduling_options withShortLists()
{
    scheduling_options options;
    options.maxListedEnds = listedEnds;
    return options;
}

/** Ends wait for their acknowledgement while the store is down, and an executor lists a limited
    number of them. If a run that is neither listed as running nor as ended counts as lost, its task
    starts again although it is done. */
class ended_list_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ended_list_test);
    CPPUNIT_TEST(runsBeyondAFullListAreNotLost);
    CPPUNIT_TEST(startsWaitBeforeTheListIsFull);
    CPPUNIT_TEST(newOwnerReadsTheWholeList);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_simulation.addExecutor("e1");
        m_simulation.advance(milliseconds{500});
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{200}, run_end::done};
        });
    }

    void tearDown() override
    {
        for (const std::string &each : m_simulation.violations())
            CPPUNIT_FAIL(each);
    }

    void runsBeyondAFullListAreNotLost()
    {
        m_simulation.submit(makeJob(jobA, 10));
        m_simulation.advance(milliseconds{100});
        m_simulation.setStoreDown(true);
        m_simulation.advance(milliseconds{2000});
        m_simulation.setStoreDown(false);
        m_simulation.advance(milliseconds{3000});
        assertEachTaskStartedOnce(jobA, 10);
    }

    /** Tasks wait for the store rather than run while nobody can learn of their ends. */
    void startsWaitBeforeTheListIsFull()
    {
        m_simulation.submit(makeJob(jobA, 2));
        m_simulation.advance(milliseconds{100});
        m_simulation.setStoreDown(true);
        m_simulation.advance(milliseconds{600});
        m_simulation.submit(makeJob(jobB, 10));
        m_simulation.advance(milliseconds{3000});
        CPPUNIT_ASSERT(m_simulation.executor("e1").ended().size() <= listedEnds);
        m_simulation.setStoreDown(false);
        m_simulation.advance(milliseconds{6000});
        assertEachTaskStartedOnce(jobB, 10);
        CPPUNIT_ASSERT(m_simulation.stateOf(jobB) == job_state::completed);
    }

    void newOwnerReadsTheWholeList()
    {
        m_simulation.submit(makeJob(jobA, 10));
        m_simulation.advance(milliseconds{100});
        m_simulation.setStoreDown(true);
        m_simulation.advance(milliseconds{1000});
        m_simulation.setStoreDown(false);
        m_simulation.replaceOwner();
        m_simulation.addExecutor("e2");
        m_simulation.advance(milliseconds{4000});
        assertEachTaskStartedOnce(jobA, 10);
    }

private:
    void assertEachTaskStartedOnce(const char *job, std::uint32_t tasks)
    {
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({job, 0, 0, index}));
    }

    scheduler_simulation m_simulation{withShortLists()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ended_list_test);

} // namespace
