#include "scheduler_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char jobA[]{"aaaaaaaaaaaaaaaa"};
constexpr char jobB[]{"bbbbbbbbbbbbbbbb"};

job_record withTwoSteps(const std::string &id)
{
    job_record job = makeJob(id, 3);
    job.steps.push_back(job.steps.front());
    job.steps.back().after.push_back(0);
    return job;
}

job_record longRunning(const std::string &id, std::uint32_t tasks)
{
    job_record job = makeJob(id, tasks);
    job.steps.front().longRunning = true;
    job.steps.front().limitsUnavailable = true;
    job.steps.front().maxUnavailable = 1;
    return job;
}

/** The job's first occurrence was due in 1970; another one follows each minute. */
job_record withOverdueOccurrences(std::uint32_t repeats, std::uint32_t tasks,
                                  const std::string &id = jobA)
{
    job_record job = makeJob(id, tasks);
    job.repeats = repeats;
    job.interval = std::chrono::minutes{1};
    return job;
}

run_plan runsForAnHour(const task_id &)
{
    return {std::chrono::hours{1}, run_end::done};
}

run_plan runsForTenMinutes(const task_id &)
{
    return {std::chrono::minutes{10}, run_end::done};
}

class scheduler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(scheduler_test);
    CPPUNIT_TEST(runsStepsInOrder);
    CPPUNIT_TEST(staysWithinExecutorCapacity);
    CPPUNIT_TEST(staysWithinTeamLimit);
    CPPUNIT_TEST(failsJobAfterMaxAttempts);
    CPPUNIT_TEST(triesAnotherExecutorAfterFailure);
    CPPUNIT_TEST(suspendsExecutorThatFailsSeveralJobs);
    CPPUNIT_TEST(stopsRunsOfCancelledJob);
    CPPUNIT_TEST(restartsLongRunningTask);
    CPPUNIT_TEST(startsAgainAfterLostAnswer);
    CPPUNIT_TEST(delayedStartOrderDoesNotStartSecondRun);
    CPPUNIT_TEST(restartsTaskOnlyAfterLeaseOfLostExecutor);
    CPPUNIT_TEST(restartsTaskAtOnceAfterExecutorRestart);
    CPPUNIT_TEST(adoptsRunsOfEarlierOwner);
    CPPUNIT_TEST(appliesEndsReportedBeforeFirstAdvance);
    CPPUNIT_TEST(endedExecutorsDoNotBlockInheritedJobs);
    CPPUNIT_TEST(unreachableExecutorBlocksInheritedJobsUntilLeaseEnd);
    CPPUNIT_TEST(orderlyHandoverShortensLeaseWait);
    CPPUNIT_TEST(unreachableExecutorBlocksOnlyItsPool);
    CPPUNIT_TEST(formerOwnerDoesNotRestartRunsRenewedBySuccessor);
    CPPUNIT_TEST(countsFailureOfEarlierOwnerOnce);
    CPPUNIT_TEST(countsFailuresReportedInAnyOrder);
    CPPUNIT_TEST(countsFailedRunsOfAllGangMembers);
    CPPUNIT_TEST(spreadsLongRunningTasks);
    CPPUNIT_TEST(evictsNoMoreThanMaxUnavailable);
    CPPUNIT_TEST(runsOnUnresponsiveExecutorCountAsUnavailable);
    CPPUNIT_TEST(evictionOfStartingRunsRespectsMaxUnavailable);
    CPPUNIT_TEST(startsWholeGangOrNothing);
    CPPUNIT_TEST(overdueOccurrencesAreOpenedAFewAtATime);
    CPPUNIT_TEST(successorOpensAFewOverdueOccurrencesAtATime);
    CPPUNIT_TEST(eachOverdueOccurrenceRunsOnce);
    CPPUNIT_TEST(overdueOccurrencesDoNotHoldBackLateJobs);
    CPPUNIT_TEST(overdueOccurrencesDoNotHoldBackOtherScheduledJobs);
    CPPUNIT_TEST(gangWithoutRoomIsPending);
    CPPUNIT_TEST(gangWithoutRoomHoldsBackNoOtherJob);
    CPPUNIT_TEST(waitingGangLeavesExecutorsAndRunNumbersAlone);
    CPPUNIT_TEST(stepsThatCannotStartHoldBackNoOtherJob);
    CPPUNIT_TEST(gangSpreadsOverExecutors);
    CPPUNIT_TEST(spreadGangNeedsDistinctExecutors);
    CPPUNIT_TEST(gangStartsWhileSmallJobsKeepArriving);
    CPPUNIT_TEST(gangStartsWhileSmallGangsKeepArriving);
    CPPUNIT_TEST(longRunDoesNotHoldBackJobsBesideAWaitingGang);
    CPPUNIT_TEST(gangWithoutRoomIsNotStoredAgainAndAgain);
    CPPUNIT_TEST(jobWhoseStartIsRejectedIsPending);
    CPPUNIT_TEST(nothingStartsInEvacuatedZone);
    CPPUNIT_TEST(longRunsAreNotTakenForStalled);
    CPPUNIT_TEST(runsOfUnknownDurationEndInTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_simulation.addExecutor("e1");
        m_simulation.addExecutor("e2");
        m_simulation.advance(milliseconds{500});
    }

    void tearDown() override
    {
        for (const std::string &each : m_simulation.violations())
            CPPUNIT_FAIL(each);
    }

    void runsStepsInOrder()
    {
        m_simulation.submit(withTwoSteps(jobA));
        m_simulation.advance(milliseconds{3000});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
    }

    void staysWithinExecutorCapacity()
    {
        // The tasks require 40 cores; the executors have 32.
        m_simulation.submit(makeJob(jobA, 10, 4000));
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, running());
        m_simulation.advance(milliseconds{2500});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
    }

    void staysWithinTeamLimit()
    {
        m_simulation.config.teams.front().limit = {5000, 0, 0};
        m_simulation.currentScheduler().apply(m_simulation.config);
        m_simulation.submit(makeJob(jobA, 8));
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, running());
    }

    void failsJobAfterMaxAttempts()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{300}, run_end::failed};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{3000});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    void triesAnotherExecutorAfterFailure()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{300}, run_end::failed};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{100});
        const bool first = !m_simulation.executor("e1").running().empty();
        m_simulation.advance(milliseconds{400});
        CPPUNIT_ASSERT_EQUAL(!first, !m_simulation.executor("e1").running().empty());
    }

    void suspendsExecutorThatFailsSeveralJobs()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{300}, run_end::failed};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.submit(makeJob(jobB, 1));
        m_simulation.advance(milliseconds{700});
        unsigned suspended = 0;
        for (const auto &[id, executor] : m_simulation.currentScheduler().executors().all())
            suspended += executor.suspendedUntil > m_simulation.now() ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(1U, suspended);
    }

    void stopsRunsOfCancelledJob()
    {
        m_simulation.setPlan(runsForAnHour);
        m_simulation.submit(makeJob(jobA, 4));
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, running());
        m_simulation.cancel(jobA);
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running());
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::cancelled);
    }

    void restartsLongRunningTask()
    {
        m_simulation.submit(longRunning(jobA, 1));
        m_simulation.advance(milliseconds{5000});
        CPPUNIT_ASSERT(m_simulation.startsOf({jobA, 0, 0, 0}) >= 3);
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::running);
    }

    void startsAgainAfterLostAnswer()
    {
        m_simulation.loseAnswers(1);
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{3000});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
    }

    void delayedStartOrderDoesNotStartSecondRun()
    {
        m_simulation.delayOrders(1, milliseconds{2500});
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{6000});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    void restartsTaskOnlyAfterLeaseOfLostExecutor()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{6000}, run_end::done};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{400});
        const std::string lost = m_simulation.executor("e1").running().empty() ? "e2" : "e1";
        m_simulation.setDisconnected(lost, true);
        m_simulation.advance(milliseconds{2000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
        m_simulation.advance(milliseconds{2000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    void restartsTaskAtOnceAfterExecutorRestart()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{2000}, run_end::done};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{400});
        m_simulation.crash(m_simulation.executor("e1").running().empty() ? "e2" : "e1");
        m_simulation.advance(milliseconds{600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    void adoptsRunsOfEarlierOwner()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{3000}, run_end::done};
        });
        m_simulation.submit(makeJob(jobA, 4));
        m_simulation.advance(milliseconds{500});
        m_simulation.takeOver();
        m_simulation.advance(milliseconds{5000});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
        for (std::uint32_t index = 0; index < 4; ++index)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, index}));
    }

    /** An end in the first report to a new owner refers to an occurrence that is not open yet. If
     * it is lost, the task runs twice. */
    void appliesEndsReportedBeforeFirstAdvance()
    {
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{200});
        m_simulation.setStoreDown(true);
        m_simulation.advance(milliseconds{1200});
        m_simulation.setStoreDown(false);
        m_simulation.replaceOwner();
        m_simulation.advance(milliseconds{3000});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    /** Inherited jobs must not wait for executors that ended under the earlier owner. */
    void endedExecutorsDoNotBlockInheritedJobs()
    {
        m_simulation.replaceOwner();
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.replaceOwner();
        m_simulation.advance(milliseconds{400});
        m_simulation.crash("e1");
        m_simulation.setDisconnected("e1", true);
        m_simulation.advance(milliseconds{1500});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
    }

    void unreachableExecutorBlocksInheritedJobsUntilLeaseEnd()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{9000}, run_end::done};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{400});
        const std::string holder = m_simulation.executor("e1").running().empty() ? "e2" : "e1";
        m_simulation.takeOver();
        m_simulation.setDisconnected(holder, true);
        m_simulation.advance(milliseconds{5000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
        m_simulation.advance(milliseconds{4000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    /** Daemons are stopped one after the other while an executor is unreachable: without the hint,
     * each new owner would wait for the longest possible lease. */
    void orderlyHandoverShortensLeaseWait()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{9000}, run_end::done};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{400});
        const std::string holder = m_simulation.executor("e1").running().empty() ? "e2" : "e1";
        m_simulation.replaceOwner();
        m_simulation.currentScheduler().executors().recordOrderlyHandover(m_simulation.now());
        m_simulation.setDisconnected(holder, true);
        m_simulation.advance(milliseconds{3600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    void unreachableExecutorBlocksOnlyItsPool()
    {
        m_simulation.addExecutor("f1", "other");
        m_simulation.advance(milliseconds{500});
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.replaceOwner();
        m_simulation.setDisconnected("f1", true);
        m_simulation.advance(milliseconds{1500});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
    }

    /** An owner in a partitioned zone sees leases as expired that its successor has renewed. If it
     * restarts the tasks, they run twice. */
    void formerOwnerDoesNotRestartRunsRenewedBySuccessor()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{9000}, run_end::done};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{400});
        const std::string holder = m_simulation.executor("e1").running().empty() ? "e2" : "e1";
        const std::string other = holder == "e1" ? "e2" : "e1";
        m_simulation.takeOver();
        m_simulation.disconnectFormerOwner(holder);
        m_simulation.setDisconnected(other, true);
        m_simulation.advance(milliseconds{4400});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    void countsFailureOfEarlierOwnerOnce()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{300}, run_end::failed};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{340});
        m_simulation.setPlan([](const task_id &) { return run_plan{}; });
        m_simulation.advance(milliseconds{60});
        m_simulation.replaceOwner();
        m_simulation.advance(milliseconds{4000});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
    }

    /** The owner fails while ends cannot be stored, and the executor of the later run answers the
     * new owner first. Both failures must count, or the task gets too many attempts. */
    void countsFailuresReportedInAnyOrder()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{300}, run_end::failed};
        });
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{100});
        const std::string first = m_simulation.executor("e1").running().empty() ? "e2" : "e1";
        m_simulation.setStoreDown(true);
        m_simulation.advance(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.startsOf({jobA, 0, 0, 0}));
        m_simulation.setStoreDown(false);
        m_simulation.replaceOwner();
        m_simulation.setDisconnected(first, true);
        m_simulation.advance(milliseconds{300});
        m_simulation.setDisconnected(first, false);
        m_simulation.advance(milliseconds{3000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.startsOf({jobA, 0, 0, 0}));
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::failed);
    }

    /** A failed run of a gang counts once, whichever of its members report it. */
    void countsFailedRunsOfAllGangMembers()
    {
        job_record gang = makeJob(jobA, 3);
        gang.steps.front().gang = true;
        job_table jobs;
        jobs.add(gang, {}, 0, false, m_simulation.now());
        job_entry &job = *jobs.find(jobA);
        jobs.applyQueueSettings(job, m_simulation.config.queues.front());
        jobs.openDueOccurrences(m_simulation.now(), milliseconds{0});
        (void)jobs.applyEnd({1, {jobA, 0, 0, 0}, 7, run_end::failed, {}}, "e1", m_simulation.now());
        (void)jobs.applyEnd({2, {jobA, 0, 0, 1}, 7, run_end::failed, {}}, "e1", m_simulation.now());
        CPPUNIT_ASSERT(!isFinal(job.state));
        (void)jobs.applyEnd({3, {jobA, 0, 0, 2}, 8, run_end::failed, {}}, "e1", m_simulation.now());
        CPPUNIT_ASSERT(job.state == job_state::failed);
    }

    void spreadsLongRunningTasks()
    {
        m_simulation.setPlan(runsForAnHour);
        m_simulation.submit(longRunning(jobA, 2));
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.executor("e1").running().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.executor("e2").running().size());
    }

    void evictsNoMoreThanMaxUnavailable()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{1}, run_end::done};
        });
        m_simulation.setPlan(runsForAnHour);
        m_simulation.submit(longRunning(jobA, 2));
        m_simulation.advance(milliseconds{500});
        reportAllRunsAvailable();
        m_simulation.currentScheduler().executors().find("e1")->reservedForMaintenance = true;
        m_simulation.currentScheduler().evictLongRunningTasks("e1", m_simulation.now());
        // The task on e1 is unavailable now.
        m_simulation.currentScheduler().executors().find("e2")->reservedForMaintenance = true;
        m_simulation.currentScheduler().evictLongRunningTasks("e2", m_simulation.now());
        m_simulation.advance(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_simulation.executor("e1").running().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.executor("e2").running().size());
    }

    /** Runs on executors of an unreachable rack must not count as available. */
    void runsOnUnresponsiveExecutorCountAsUnavailable()
    {
        m_simulation.setPlan(runsForAnHour);
        m_simulation.submit(longRunning(jobA, 2));
        m_simulation.advance(milliseconds{500});
        reportAllRunsAvailable();
        m_simulation.currentScheduler().markUnresponsive("e2");
        m_simulation.currentScheduler().evictLongRunningTasks("e1", m_simulation.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.executor("e1").running().size());
        CPPUNIT_ASSERT(m_simulation.currentScheduler().takeOrders().empty());
    }

    /** After a takeover all tasks of a step are starting. One may be available by the time its VM
     * is maintained, although its last report says that it is not. */
    void evictionOfStartingRunsRespectsMaxUnavailable()
    {
        m_simulation.setPlan(runsForAnHour);
        m_simulation.submit(longRunning(jobA, 2));
        m_simulation.advance(milliseconds{500});
        reportAllRunsAvailable();
        for (auto &[task, held] :
             m_simulation.currentScheduler().executors().find("e1")->assignments)
            held.progressPercent = 60;
        m_simulation.currentScheduler().markUnresponsive("e2");
        m_simulation.currentScheduler().evictLongRunningTasks("e1", m_simulation.now());
        CPPUNIT_ASSERT(m_simulation.currentScheduler().takeOrders().empty());
    }

    void startsWholeGangOrNothing()
    {
        job_record gang = makeJob(jobA, 5, 8000);
        gang.steps.front().gang = true;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running());
        gang = makeJob(jobB, 4, 8000);
        gang.steps.front().gang = true;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, running());
    }

    /** Guards against gangs that count as running while they wait for room (review case 10): the
        members that found room were taken back, the state of the job was not. */
    void gangWithoutRoomIsPending()
    {
        job_record gang = makeJob(jobA, 5, 8000);
        gang.steps.front().gang = true;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::pending);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_simulation.currentScheduler().jobs().countPendingJobs(gang.queue));
    }

    /** Guards against a gang without room that keeps other jobs from starting in an idle pool
        (review case 12): its members were placed and taken back, but the pool counted as full. */
    void gangWithoutRoomHoldsBackNoOtherJob()
    {
        addLowerQueue();
        for (const bool lasting : {false, true}) {
            for (const char *const queue : {"queue", "lower"}) {
                scheduler_simulation simulation;
                simulation.addExecutor("e1");
                simulation.addExecutor("e2");
                simulation.config = m_simulation.config;
                simulation.currentScheduler().apply(simulation.config);
                simulation.advance(milliseconds{500});
                job_record gang = makeJob(jobA, 5, 8000);
                gang.steps.front().gang = true;
                gang.steps.front().longRunning = lasting;
                simulation.submit(gang);
                simulation.advance(milliseconds{500});
                job_record other = makeJob(jobB, 2, 8000);
                other.queue = queue;
                simulation.submit(other);
                simulation.advance(milliseconds{200});
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.startsOf({jobB, 0, 0, 0}));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, simulation.startsOf({jobB, 0, 0, 1}));
            }
        }
    }

    /** Guards against a gang whose trials end the idle time of executors, so that their VMs never
        move to another pool, and use up the owner's run numbers. */
    void waitingGangLeavesExecutorsAndRunNumbersAlone()
    {
        const executor_entry &executor = *m_simulation.currentScheduler().executors().find("e1");
        const boot_time idleSince = executor.idleSince;
        job_record gang = makeJob(jobA, 5, 8000);
        gang.steps.front().gang = true;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{2000});
        CPPUNIT_ASSERT(executor.idleSince == idleSince);
        m_simulation.submit(makeJob(jobB, 1));
        m_simulation.advance(milliseconds{100});
        const auto &runs = m_simulation.currentScheduler().executors().all();
        for (const auto &[id, each] : runs) {
            for (const auto &[task, held] : each.assignments)
                CPPUNIT_ASSERT_EQUAL(run_number{1'000'001}, held.run);
        }
    }

    /** A step that can't be spread any further, a job that is larger than its pool, and a team at
        its limit: jobs of the same queue, of a lower one and long-running ones start all the
        same. */
    void stepsThatCannotStartHoldBackNoOtherJob()
    {
        addLowerQueue();
        m_simulation.config.teams.push_back({});
        m_simulation.config.teams.back().name = "full";
        m_simulation.config.teams.back().limit = {500, 0, 0};
        m_simulation.currentScheduler().apply(m_simulation.config);
        m_simulation.setPlan(runsForAnHour);
        job_record spread = makeJob(jobA, 4, 1000);
        spread.steps.front().maxPerExecutor = 1;
        m_simulation.submit(spread);
        job_record limited = makeJob("cccccccccccccccc", 2, 1000);
        limited.team = "full";
        m_simulation.submit(limited);
        job_record large = makeJob("dddddddddddddddd", 2, 17'000);
        m_simulation.submit(large);
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, running());
        std::size_t expected = running();
        for (const char *const queue : {"queue", "lower"}) {
            for (const bool lasting : {false, true}) {
                job_record other =
                    makeJob(std::string(14, 'e') + (lasting ? "1" : "0") + queue[0], 2);
                other.queue = queue;
                other.steps.front().longRunning = lasting;
                m_simulation.submit(other);
                m_simulation.advance(milliseconds{200});
                expected += 2;
                CPPUNIT_ASSERT_EQUAL(expected, running());
            }
        }
    }

    void gangSpreadsOverExecutors()
    {
        job_record gang = makeJob(jobA, 5, 1000);
        gang.steps.front().gang = true;
        gang.steps.front().maxPerExecutor = 2;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running());
        gang = makeJob(jobB, 4, 1000);
        gang.steps.front().gang = true;
        gang.steps.front().maxPerExecutor = 2;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.executor("e1").running().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_simulation.executor("e2").running().size());
    }

    /** Guards against a pool whose VMs move elsewhere although a gang must be spread over them. */
    void spreadGangNeedsDistinctExecutors()
    {
        job_record gang = makeJob(jobA, 6, 1000);
        gang.steps.front().gang = true;
        gang.steps.front().maxPerExecutor = 2;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{200});
        const auto loads = m_simulation.currentScheduler().poolLoads(m_simulation.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, loads.at("pool").minDistinctExecutors);
    }

    /** Guards against a gang that never starts, as each resource that becomes free is taken by a
        task that needs less. */
    void gangStartsWhileSmallJobsKeepArriving()
    {
        addLowerQueue();
        const auto submitSmall = [this](int number) {
            job_record small =
                makeJob(std::string(12, 'b') + std::to_string(1000 + number), 1, 3000);
            small.queue = "lower";
            m_simulation.submit(small);
            m_simulation.advance(milliseconds{100});
        };
        for (int number = 0; number < 20; ++number)
            submitSmall(number);
        job_record gang = makeJob(jobA, 4, 8000);
        gang.steps.front().gang = true;
        m_simulation.submit(gang);
        for (int number = 20; number < 120; ++number)
            submitSmall(number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
        m_simulation.advance(milliseconds{3000});
        for (int number = 0; number < 120; ++number) {
            const std::string id = std::string(12, 'b') + std::to_string(1000 + number);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({id, 0, 0, 0}));
        }
    }

    /** The same with small gangs. */
    void gangStartsWhileSmallGangsKeepArriving()
    {
        for (int number = 0; number < 120; ++number) {
            job_record small =
                makeJob(std::string(12, 'b') + std::to_string(1000 + number), 2, 1500);
            small.steps.front().gang = true;
            m_simulation.submit(small);
            m_simulation.advance(milliseconds{100});
            if (number == 20) {
                job_record gang = makeJob(jobA, 4, 8000);
                gang.steps.front().gang = true;
                m_simulation.submit(gang);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    /** A gang waits for an executor whose task takes an hour: shorter ones may run there
        meanwhile. */
    void longRunDoesNotHoldBackJobsBesideAWaitingGang()
    {
        m_simulation.setPlan(runsForAnHour);
        addLowerQueue();
        job_record hour = makeJob(jobB, 2, 9000);
        hour.steps.front().estimate = std::chrono::hours{1};
        hour.steps.front().maxPerExecutor = 1;
        m_simulation.submit(hour);
        m_simulation.advance(milliseconds{500});
        job_record gang = makeJob(jobA, 4, 8000);
        gang.steps.front().gang = true;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{8000});
        job_record other = makeJob("cccccccccccccccc", 2, 6000);
        other.queue = "lower";
        m_simulation.submit(other);
        m_simulation.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, running());
    }

    /** Each pass tries to place it. */
    void gangWithoutRoomIsNotStoredAgainAndAgain()
    {
        job_record gang = makeJob(jobA, 5, 8000);
        gang.steps.front().gang = true;
        m_simulation.submit(gang);
        m_simulation.advance(milliseconds{500});
        (void)m_simulation.currentScheduler().jobs().takeDirtyJobs();
        m_simulation.currentScheduler().advance(m_simulation.now(), milliseconds{0},
                                                m_simulation.now(), placement_mode::allowed);
        CPPUNIT_ASSERT(m_simulation.currentScheduler().jobs().takeDirtyJobs().empty());
    }

    /** As long as no task of it has begun, it counts as waiting. */
    void jobWhoseStartIsRejectedIsPending()
    {
        job_table jobs;
        const job_record record = makeJob(jobA, 2);
        jobs.add(record, {}, 0, false, m_simulation.now());
        jobs.openDueOccurrences(m_simulation.now(), milliseconds{0});
        job_entry &job = *jobs.find(jobA);
        jobs.assign({jobA, 0, 0, 0}, "e1");
        jobs.assign({jobA, 0, 0, 1}, "e1");
        jobs.recordStart(job);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, jobs.countPendingJobs(record.queue));
        jobs.release({jobA, 0, 0, 0});
        jobs.recordNotStarted(jobA);
        CPPUNIT_ASSERT(job.state == job_state::running);
        jobs.release({jobA, 0, 0, 1});
        jobs.recordNotStarted(jobA);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, jobs.countPendingJobs(record.queue));
        jobs.recordStart(job);
        jobs.recordBegun(jobA);
        jobs.recordNotStarted(jobA);
        CPPUNIT_ASSERT(job.state == job_state::running);
    }

    /** Guards against an owner that opens all overdue occurrences of a job in one event, and loses
        its lease meanwhile (review case 11). */
    void overdueOccurrencesAreOpenedAFewAtATime()
    {
        job_table jobs;
        jobs.add(withOverdueOccurrences(100'000, 1), {}, 0, false, m_simulation.now());
        jobs.add(withOverdueOccurrences(100, 2000, jobB), {}, 0, false, m_simulation.now());
        jobs.openDueOccurrences(m_simulation.now(), std::chrono::hours{1'000'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, jobs.find(jobA)->occurrences.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, jobs.find(jobB)->occurrences.size());
    }

    /** The same after a takeover, behind the occurrences that are completed. */
    void successorOpensAFewOverdueOccurrencesAtATime()
    {
        job_progress stored;
        stored.state = job_state::running;
        stored.completedOccurrences.insert(0, 49'999);
        stored.completedOccurrences.insert(50'002);
        job_table jobs;
        jobs.add(withOverdueOccurrences(100'000, 1), stored, 1, true, m_simulation.now());
        jobs.openDueOccurrences(m_simulation.now(), std::chrono::hours{1'000'000});
        const auto &open = jobs.find(jobA)->occurrences;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, open.size());
        CPPUNIT_ASSERT_EQUAL(50'000U, open.front().number);
        CPPUNIT_ASSERT_EQUAL(51'000U, open.back().number);
    }

    /** Guards against a job that waits behind all overdue occurrences of another one once it is
        late itself: both are late, and the occurrences by far more. */
    void overdueOccurrencesDoNotHoldBackLateJobs()
    {
        job_record overdue = withOverdueOccurrences(400, 1);
        overdue.interval = std::chrono::seconds{1};
        m_simulation.submit(overdue);
        m_simulation.advance(milliseconds{200});
        // The job takes three rounds of all executors and is late after the first one.
        constexpr std::uint32_t tasks{96};
        m_simulation.submit(makeJob(jobB, tasks));
        m_simulation.advance(milliseconds{4500});
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobB, 0, 0, index}));
    }

    /** The same with a job of three occurrences, the first two of which are late and overtaken by
        the last. */
    void overdueOccurrencesDoNotHoldBackOtherScheduledJobs()
    {
        constexpr std::uint32_t tasks{48};
        job_record overdue = withOverdueOccurrences(400, 1);
        overdue.interval = std::chrono::seconds{1};
        m_simulation.submit(overdue);
        m_simulation.advance(milliseconds{200});
        job_record scheduled = makeJob(jobB, tasks);
        scheduled.repeats = 3;
        scheduled.interval = std::chrono::seconds{1};
        scheduled.firstDue = std::chrono::duration_cast<milliseconds>(
            m_simulation.now().time_since_epoch() - 2 * scheduled.interval);
        m_simulation.submit(scheduled);
        m_simulation.advance(milliseconds{6500});
        for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence) {
            for (std::uint32_t index = 0; index < tasks; ++index)
                CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                     m_simulation.startsOf({jobB, occurrence, 0, index}));
        }
    }

    void eachOverdueOccurrenceRunsOnce()
    {
        constexpr std::uint32_t repeats{2500};
        job_table jobs;
        jobs.add(withOverdueOccurrences(repeats, 1), {}, 0, false, m_simulation.now());
        const job_entry &job = *jobs.find(jobA);
        run_number run = 0;
        while (job.state != job_state::completed && run < repeats) {
            jobs.openDueOccurrences(m_simulation.now(), std::chrono::hours{1'000'000});
            CPPUNIT_ASSERT(job.occurrences.size() <= 1000);
            std::vector<std::uint32_t> open;
            for (const occurrence_entry &each : job.occurrences) {
                if (each.stepsDone == 0)
                    open.push_back(each.number);
            }
            // The first ones stay open for a while.
            for (std::size_t index = open.size() > 3 ? 3 : 0; index < open.size(); ++index) {
                const ended_run end{1, {jobA, open[index], 0, 0}, ++run, run_end::done, {}};
                CPPUNIT_ASSERT(jobs.applyEnd(end, "e1", m_simulation.now()) != end_effect::none);
                CPPUNIT_ASSERT(jobs.applyEnd(end, "e1", m_simulation.now()) == end_effect::none);
            }
        }
        CPPUNIT_ASSERT_EQUAL(run_number{repeats}, run);
        CPPUNIT_ASSERT(job.state == job_state::completed);
    }

    void nothingStartsInEvacuatedZone()
    {
        m_simulation.currentScheduler().setEvacuatedZones({"zone"});
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(milliseconds{1000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running());
    }

    /** A task of over 300 s moves by less than a percent in the time after which a run counts as
        stalled: it was stopped again and again, and never ended. */
    void longRunsAreNotTakenForStalled()
    {
        m_simulation.setPlan(runsForTenMinutes);
        job_record job = makeJob(jobA, 1);
        job.steps.front().estimate = std::chrono::minutes{10};
        m_simulation.submit(job);
        m_simulation.advance(std::chrono::seconds{30});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

    /** The same with a wrong estimate: the first two runs are stopped, the third is left alone. */
    void runsOfUnknownDurationEndInTheEnd()
    {
        m_simulation.setPlan(runsForTenMinutes);
        m_simulation.submit(makeJob(jobA, 1));
        m_simulation.advance(std::chrono::seconds{60});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_simulation.startsOf({jobA, 0, 0, 0}));
    }

private:
    /** Adds a queue of the same pool whose jobs are placed after those of the first one. */
    void addLowerQueue()
    {
        queue_entry lower = m_simulation.config.queues.front();
        lower.name = "lower";
        lower.priority = 1;
        m_simulation.config.queues.push_back(lower);
        m_simulation.currentScheduler().apply(m_simulation.config);
    }

    [[nodiscard]] std::size_t running()
    {
        return m_simulation.executor("e1").running().size()
            + m_simulation.executor("e2").running().size();
    }

    /** Marks all runs as available: long-running tasks then report 100 percent. */
    void reportAllRunsAvailable()
    {
        for (auto &[id, executor] : m_simulation.currentScheduler().executors().all()) {
            for (auto &[task, held] : executor.assignments) {
                held.progressPercent = 100;
                held.progressChangedAt = m_simulation.now() - milliseconds{1000};
            }
        }
    }

    scheduler_simulation m_simulation{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_test);

} // namespace
