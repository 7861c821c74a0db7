#include "scheduler_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr unsigned jobs{200};
/** One job every 20 ms requires 40 cores; the executors have 32. */
constexpr milliseconds arrivalInterval{20};
constexpr milliseconds jobTime{800};

std::string jobName(unsigned index)
{
    char name[17];
    std::snprintf(name, sizeof name, "%016x", index);
    return name;
}

/** Load peak that exceeds the capacity of the pool. */
class overload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_test);
    CPPUNIT_TEST(newestFirstMeetsMoreObjectivesThanLeastSlack);
    CPPUNIT_TEST(everyAcceptedJobCompletesAfterOverload);
    CPPUNIT_TEST_SUITE_END();

public:
    void newestFirstMeetsMoreObjectivesThanLeastSlack()
    {
        const unsigned newest = countJobsWithinObjective(queue_order::newest_first);
        const unsigned slack = countJobsWithinObjective(queue_order::least_slack);
        // The pool has four fifths of the required capacity, so at most that part meets its
        // objective.
        CPPUNIT_ASSERT(newest >= jobs * 7 / 10);
        CPPUNIT_ASSERT(newest > slack);
    }

    void everyAcceptedJobCompletesAfterOverload()
    {
        scheduler_simulation world{{.order = queue_order::newest_first}};
        runOverload(world);
        for (unsigned index = 0; index < jobs; ++index)
            CPPUNIT_ASSERT(world.stateOf(jobName(index)) == job_state::completed);
    }

private:
    static void runOverload(scheduler_simulation &world)
    {
        world.setPlan([](const task_id &) { return run_plan{jobTime, run_end::done}; });
        world.addExecutor("e1");
        world.addExecutor("e2");
        world.advance(milliseconds{500});
        for (unsigned index = 0; index < jobs; ++index) {
            world.submit(makeJob(jobName(index), 1, 1000));
            world.advance(arrivalInterval);
        }
        world.advance(milliseconds{15'000});
    }

    static unsigned countJobsWithinObjective(queue_order order)
    {
        scheduler_simulation world{{.order = order}};
        runOverload(world);
        unsigned served = 0;
        for (unsigned index = 0; index < jobs; ++index) {
            const job_entry *const job =
                std::as_const(world.currentScheduler()).jobs().find(jobName(index));
            const auto end = world.endOf(jobName(index));
            served += end && *end - job->acceptedAt <= job->objective ? 1 : 0;
        }
        return served;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_test);

} // namespace
