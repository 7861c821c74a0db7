#include "scheduler_simulation.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <variant>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char firstJob[]{"0000000000000000"};
constexpr char jobA[]{"aaaaaaaaaaaaaaaa"};

/** An executor restarts under its identifier, and orders reach the new incarnation before the owner
    knows of it. If the owner takes all of its runs for runs of the former incarnation, it starts
    their tasks elsewhere, and they run twice. */
class executor_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(executor_restart_test);
    CPPUNIT_TEST(keepsRunsStartedBeforeTheRegistration);
    CPPUNIT_TEST(keepsRunsStartedBeforeTheFirstReport);
    CPPUNIT_TEST(appliesEndsOfTheFirstReport);
    CPPUNIT_TEST(keepsRunsWhoseOrdersAreAnsweredLater);
    CPPUNIT_TEST(settlesUnansweredOrdersBeforeTheTaskStartsAgain);
    CPPUNIT_TEST(confirmationOfTheFormerIncarnationDoesNotCount);
    CPPUNIT_TEST(refusalOfTheFormerIncarnationDoesNotEndTheNewOne);
    CPPUNIT_TEST(restartsReportedRunsAtOnce);
    CPPUNIT_TEST(restartsUnreportedRunsAfterTheFirstReport);
    CPPUNIT_TEST(ignoresAReportOfTheFormerIncarnation);
    CPPUNIT_TEST(reportWithoutAStartTimeChangesNothing);
    CPPUNIT_TEST(registrationWithoutAStartTimeKeepsTheKnownOne);
    CPPUNIT_TEST(startTimeNamedLaterIsAnotherIncarnation);
    CPPUNIT_TEST(usesAnExecutorThatNeverNamesItsStartTime);
    CPPUNIT_TEST(placesNothingBeforeTheNewRegistration);
    CPPUNIT_TEST(newOwnerAdoptsRunsOfAnUnrecordedIncarnation);
    CPPUNIT_TEST(newOwnerWaitsForAnUnreachableIncarnation);
    CPPUNIT_TEST(leaseOfTheFormerClockLastsUpToTheLongestTerm);
    CPPUNIT_TEST(orderCarriedOutAfterTheRestartHoldsTheLongestLease);
    CPPUNIT_TEST(orderRefusedAfterTheRestartExtendsTheLease);
    CPPUNIT_TEST(orderForThePresentIncarnationHoldsItsOwnLease);
    CPPUNIT_TEST(orderOfADroppedRunIsNotPending);
    CPPUNIT_TEST(newOwnerDoesNotRepeatRunsOfARestartedExecutor);
    CPPUNIT_TEST(newOwnerWaitsForLeasesOfTheFormerClock);
    CPPUNIT_TEST(newOwnerCountsOnLeasesOfTheFormerClockAfterItsFirstReport);
    CPPUNIT_TEST(newOwnerExpectsLeasesOfAFormerClockOnAYoungExecutor);
    CPPUNIT_TEST(unansweredOrderMayHaveReachedAnUnheardIncarnation);
    CPPUNIT_TEST(orderThatMeetsARestartedExecutorGoesElsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_simulation.addExecutor("e1");
        m_simulation.addExecutor("e2");
        m_simulation.advance(milliseconds{500});
        m_simulation.setPlan([](const task_id &task) {
            return run_plan{milliseconds{task.job == firstJob ? 20'000 : 2000}, run_end::done};
        });
        // Further tasks go to the executor that has one already.
        m_simulation.submit(makeJob(firstJob, 1));
        m_simulation.advance(milliseconds{500});
        m_used = m_simulation.executor("e1").running().empty() ? "e2" : "e1";
    }

    void tearDown() override
    {
        for (const std::string &each : m_simulation.violations())
            CPPUNIT_FAIL(each);
    }

    void keepsRunsStartedBeforeTheRegistration()
    {
        m_simulation.restartUnnoticed(m_used);
        m_simulation.submit(makeJob(jobA, 4));
        m_simulation.advance(milliseconds{40});
        m_simulation.currentScheduler().registerExecutor(m_simulation.executor(m_used).info(),
                                                         m_simulation.now());
        m_simulation.advance(milliseconds{5000});
        assertEachTaskStarted(jobA, 4, 1);
    }

    void keepsRunsStartedBeforeTheFirstReport()
    {
        m_simulation.restartUnnoticed(m_used);
        m_simulation.submit(makeJob(jobA, 4));
        m_simulation.advance(milliseconds{5000});
        assertEachTaskStarted(jobA, 4, 1);
    }

    void appliesEndsOfTheFirstReport()
    {
        m_simulation.setPlan([](const task_id &) {
            return run_plan{milliseconds{60}, run_end::done};
        });
        m_simulation.restartUnnoticed(m_used);
        m_simulation.submit(makeJob(jobA, 4));
        m_simulation.advance(milliseconds{5000});
        assertEachTaskStarted(jobA, 4, 1);
        CPPUNIT_ASSERT(m_simulation.stateOf(jobA) == job_state::completed);
    }

    /** A start order waits for its connection while the executor restarts and registers. */
    void keepsRunsWhoseOrdersAreAnsweredLater()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        addOther(scheduling);
        scheduling.registerExecutor(registration(2), at(100));
        advance(scheduling, at(150));
        CPPUNIT_ASSERT(scheduling.takeOrders().empty());
        scheduling.applyStartOutcome(order, start_outcome::started, at(200));
        scheduling.applyReport("e", report(2, {order.task, order.run, {}, 10, 0}), at(210),
                               at(220));
        advance(scheduling, at(300));
        CPPUNIT_ASSERT(scheduling.takeOrders().empty());
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
    }

    /** The order may still be carried out by the new incarnation: a stop order prevents that. */
    void settlesUnansweredOrdersBeforeTheTaskStartsAgain()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        scheduling.registerExecutor(registration(2), at(100));
        scheduling.executors().find("e")->ownershipRecorded = true;
        scheduling.applyStartOutcome(order, start_outcome::unknown, at(600));
        scheduling.applyReport("e", report(2), at(610), at(620));
        advance(scheduling, at(700));
        const executor_orders orders = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(std::holds_alternative<stop_order>(orders.front()));
        scheduling.applyStopOutcome(std::get<stop_order>(orders.front()), true, at(710));
        scheduling.applyReport("e", report(2), at(720), at(730));
        advance(scheduling, at(800));
        const executor_orders next = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT(std::get<start_order>(next.front()).run > order.run);
    }

    /** The stop order is confirmed before the restart, and the answer arrives after it. The new
        incarnation knows nothing of it and may still get the start order. */
    void confirmationOfTheFormerIncarnationDoesNotCount()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        addOther(scheduling);
        scheduling.applyStartOutcome(order, start_outcome::unknown, at(600));
        scheduling.applyReport("e", report(1), at(610), at(620));
        const executor_orders stops = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        scheduling.registerExecutor(registration(2), at(700));
        scheduling.applyStopOutcome(std::get<stop_order>(stops.front()), true, at(710));
        scheduling.applyReport("e", report(2), at(720), at(730));
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
        const executor_orders repeated = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repeated.size());
        scheduling.applyStopOutcome(std::get<stop_order>(repeated.front()), true, at(740));
        scheduling.applyReport("e", report(2), at(750), at(760));
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) == nullptr);
    }

    /** An order for the former incarnation was refused at its address by another executor. What
        runs on the new incarnation goes on. */
    void refusalOfTheFormerIncarnationDoesNotEndTheNewOne()
    {
        scheduler scheduling = makeScheduler();
        scheduling.addJob(makeJob(jobA, 2), {}, 0, false, at(0));
        advance(scheduling, at(0));
        const executor_orders orders = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
        const auto &first = std::get<start_order>(orders.front());
        const auto &second = std::get<start_order>(orders.back());
        scheduling.registerExecutor(registration(2), at(100));
        scheduling.applyReport("e", report(2, {first.task, first.run, {}, 10, 0}), at(110),
                               at(120));
        scheduling.applyStartOutcome(second, start_outcome::other_incarnation, at(130));
        CPPUNIT_ASSERT(scheduling.executors().find("e", first.task) != nullptr);
        CPPUNIT_ASSERT(scheduling.executors().find("e", second.task) == nullptr);
    }

    /** The former incarnation listed the run, so it ended with it: the task need not wait. */
    void restartsReportedRunsAtOnce()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        scheduling.applyStartOutcome(order, start_outcome::started, at(10));
        scheduling.applyReport("e", report(1, {order.task, order.run, {}, 10, 0}), at(50), at(60));
        scheduling.registerExecutor(registration(2), at(100));
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) == nullptr);
    }

    void restartsUnreportedRunsAfterTheFirstReport()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        scheduling.applyStartOutcome(order, start_outcome::started, at(10));
        scheduling.registerExecutor(registration(2), at(100));
        scheduling.executors().find("e")->ownershipRecorded = true;
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
        scheduling.applyReport("e", report(2), at(110), at(120));
        advance(scheduling, at(200));
        const executor_orders orders = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(std::holds_alternative<start_order>(orders.front()));
    }

    /** Its answer was held up by a partition and arrives after the new registration. */
    void ignoresAReportOfTheFormerIncarnation()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        scheduling.registerExecutor(registration(2), at(100));
        scheduling.applyReport("e", report(1), at(50), at(110));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, scheduling.executors().find("e")->info.startedUnixMs);
        CPPUNIT_ASSERT(!scheduling.executors().find("e")->contacted);
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
    }

    /** The new incarnation would not count as another one, and its ends would be taken for ends
        that are known already. */
    void reportWithoutAStartTimeChangesNothing()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        scheduling.applyStartOutcome(order, start_outcome::started, at(10));
        scheduling.applyReport("e", report(1, {order.task, order.run, {}, 10, 0}), at(50), at(60));
        scheduling.applyReport("e", report(0), at(100), at(110));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, scheduling.executors().find("e")->info.startedUnixMs);
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
        scheduling.applyReport("e", report(2), at(150), at(160));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduling.takeEndedIncarnations().size());
    }

    void registrationWithoutAStartTimeKeepsTheKnownOne()
    {
        scheduler scheduling = makeScheduler();
        executor_registration draining = registration(0);
        draining.draining = true;
        scheduling.registerExecutor(draining, at(100));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, scheduling.executors().find("e")->info.startedUnixMs);
        CPPUNIT_ASSERT(scheduling.executors().find("e")->info.draining);
        scheduling.applyReport("e", report(2), at(150), at(160));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduling.takeEndedIncarnations().size());
    }

    /** A process names its start time always or never. Runs that it lists are kept in any case. */
    void startTimeNamedLaterIsAnotherIncarnation()
    {
        scheduler scheduling = makeScheduler(0);
        const start_order order = placeOne(scheduling);
        scheduling.applyStartOutcome(order, start_outcome::started, at(10));
        const reported_run run{order.task, order.run, {}, 10, 0};
        scheduling.applyReport("e", report(0, run), at(50), at(60));
        scheduling.executors().find("e")->lastProcessedEnd = 5;
        scheduling.applyReport("e", report(2, run), at(100), at(110));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, scheduling.executors().find("e")->lastProcessedEnd);
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
    }

    void usesAnExecutorThatNeverNamesItsStartTime()
    {
        scheduler scheduling = makeScheduler(0);
        const start_order order = placeOne(scheduling);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, order.startedUnixMs);
        scheduling.applyStartOutcome(order, start_outcome::started, at(10));
        scheduling.registerExecutor(registration(0), at(40));
        scheduling.applyReport("e", report(0, {order.task, order.run, {}, 10, 0}), at(50), at(60));
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task)->reported);
        CPPUNIT_ASSERT(scheduling.takeEndedIncarnations().empty());
        executor_report last = report(0);
        last.ended.push_back({1, order.task, order.run, run_end::done, {}});
        scheduling.applyReport("e", last, at(70), at(80));
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) == nullptr);
        advance(scheduling, at(200));
        CPPUNIT_ASSERT(scheduling.takeOrders().empty());
    }

    /** A new incarnation may be of another kind, with other labels and another capacity. */
    void placesNothingBeforeTheNewRegistration()
    {
        scheduler scheduling = makeScheduler();
        scheduling.applyReport("e", report(2), at(50), at(60));
        scheduling.executors().find("e")->ownershipRecorded = true;
        scheduling.addJob(makeJob(jobA, 1), {}, 0, false, at(60));
        advance(scheduling, at(100));
        CPPUNIT_ASSERT(scheduling.takeOrders().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduling.takeEndedIncarnations().size());
        scheduling.registerExecutor(registration(2), at(200));
        advance(scheduling, at(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduling.takeOrders().size());
    }

    /** The record in the store still names the former incarnation. */
    void newOwnerAdoptsRunsOfAnUnrecordedIncarnation()
    {
        scheduler scheduling{scheduling_options{}, 1000};
        scheduling.apply(m_simulation.config);
        scheduling.inheritExecutor(registration(1), at(0));
        scheduling.addJob(makeJob(jobA, 1), {}, 0, true, at(0));
        scheduling.registerExecutor(registration(2), at(0));
        scheduling.executors().find("e")->ownershipRecorded = true;
        const task_id task{jobA, 0, 0, 0};
        addOther(scheduling);
        advance(scheduling, at(100));
        CPPUNIT_ASSERT(scheduling.takeOrders().empty());
        scheduling.applyReport("e", report(2, {task, 7, {}, 10, 0}), at(110), at(120));
        advance(scheduling, at(200));
        CPPUNIT_ASSERT(scheduling.takeOrders().empty());
        CPPUNIT_ASSERT(scheduling.executors().find("e", task) != nullptr);
    }

    void newOwnerWaitsForAnUnreachableIncarnation()
    {
        scheduler scheduling{scheduling_options{}, 1000};
        scheduling.apply(m_simulation.config);
        scheduling.inheritExecutor(registration(1), at(0));
        scheduling.addJob(makeJob(jobA, 1), {}, 0, true, at(0));
        scheduling.registerExecutor(registration(2), at(0));
        addOther(scheduling);
        (void)scheduling.takeNotices();
        advance(scheduling, at(5900));
        CPPUNIT_ASSERT(scheduling.takeOrders().empty());
        CPPUNIT_ASSERT(scheduling.takeNotices().empty());
        advance(scheduling, at(12'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scheduling.takeOrders().size());
        CPPUNIT_ASSERT(
            std::holds_alternative<earlier_leases_over_notice>(scheduling.takeNotices().front()));
    }

    /** The end of a lease that was meant for the former clock lies far ahead on the new one, whose
        executor shortens it to the longest term only. */
    void leaseOfTheFormerClockLastsUpToTheLongestTerm()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        scheduling.applyStartOutcome(order, start_outcome::started, at(90));
        scheduling.applyReport("e", report(2, {order.task, order.run, {}, 10, 0}), at(100),
                               at(110));
        scheduling.markUnresponsive("e");
        advance(scheduling, at(6100));
        CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
    }

    /** The order is in flight while the owner learns of the restart, and is carried out up to the
        moment at which it is given up. Then the executor is cut off. */
    void orderCarriedOutAfterTheRestartHoldsTheLongestLease()
    {
        for (const start_outcome outcome : {start_outcome::started, start_outcome::unknown}) {
            scheduler scheduling = makeScheduler();
            const start_order order = placeOne(scheduling);
            scheduling.registerExecutor(registration(2), at(100));
            scheduling.applyStartOutcome(order, outcome, at(700));
            scheduling.markUnresponsive("e");
            advance(scheduling, at(700 + longestLeaseMs));
            CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) != nullptr);
            // A further second covers calls that reach the executor late.
            advance(scheduling, at(2000 + longestLeaseMs));
            CPPUNIT_ASSERT(scheduling.executors().find("e", order.task) == nullptr);
        }
    }

    /** A refusal for want of room extends the lease of the runs that are there. */
    void orderRefusedAfterTheRestartExtendsTheLease()
    {
        scheduler scheduling = makeScheduler();
        scheduling.addJob(makeJob(jobA, 2), {}, 0, false, at(0));
        advance(scheduling, at(0));
        const executor_orders orders = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
        const auto &first = std::get<start_order>(orders.front());
        scheduling.registerExecutor(registration(2), at(100));
        scheduling.applyStartOutcome(first, start_outcome::started, at(110));
        scheduling.applyStartOutcome(std::get<start_order>(orders.back()), start_outcome::full,
                                     at(700));
        scheduling.markUnresponsive("e");
        advance(scheduling, at(700 + longestLeaseMs));
        CPPUNIT_ASSERT(scheduling.executors().find("e", first.task) != nullptr);
    }

    void orderForThePresentIncarnationHoldsItsOwnLease()
    {
        scheduler scheduling = makeScheduler();
        scheduling.addJob(makeJob(jobA, 2), {}, 0, false, at(0));
        advance(scheduling, at(0));
        const executor_orders orders = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
        const auto &answered = std::get<start_order>(orders.front());
        const auto &unanswered = std::get<start_order>(orders.back());
        scheduling.applyStartOutcome(answered, start_outcome::started, at(10));
        scheduling.applyStartOutcome(unanswered, start_outcome::unknown, at(600));
        scheduling.markUnresponsive("e");
        advance(scheduling, at(4000));
        CPPUNIT_ASSERT(scheduling.executors().find("e", answered.task) == nullptr);
        CPPUNIT_ASSERT(scheduling.executors().find("e", unanswered.task) != nullptr);
        advance(scheduling, at(2000 + longestLeaseMs));
        CPPUNIT_ASSERT(scheduling.executors().find("e", unanswered.task) == nullptr);
    }

    /** Orders wait for a connection: one that is sent after its run was given up would start a
        second run on a new incarnation, which knows nothing of the former lease. */
    void orderOfADroppedRunIsNotPending()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        CPPUNIT_ASSERT(scheduling.isStartPending(order));
        scheduling.markUnresponsive("e");
        advance(scheduling, at(9000));
        CPPUNIT_ASSERT(!scheduling.isStartPending(order));
    }

    /** The executor restarts, gets orders before it registers, and is then cut off from the next
        owner. A lease in the clock of its former incarnation would outlast what that owner
        assumes, and the tasks would run twice. */
    void newOwnerDoesNotRepeatRunsOfARestartedExecutor()
    {
        restartUnderLongTasks(true);
        m_long->replaceOwner();
        m_long->setDisconnected(m_used, true);
        m_long->advance(milliseconds{12'000});
        assertLongTasksRanOnce();
    }

    /** As above, but orders for the former incarnation reach the new one, as an intermediary has
        kept the connection open. */
    void newOwnerWaitsForLeasesOfTheFormerClock()
    {
        restartUnderLongTasks(false);
        m_long->replaceOwner();
        m_long->setDisconnected(m_used, true);
        m_long->advance(milliseconds{12'000});
        assertLongTasksRanOnce();
    }

    /** A report shows the runs, but not how long their lease lasts. */
    void newOwnerCountsOnLeasesOfTheFormerClockAfterItsFirstReport()
    {
        restartUnderLongTasks(false);
        m_long->replaceOwner();
        m_long->advance(milliseconds{20});
        m_long->setDisconnected(m_used, true);
        m_long->advance(milliseconds{12'000});
        assertLongTasksRanOnce();
    }

    /** The former owner could not record the restart. */
    void newOwnerExpectsLeasesOfAFormerClockOnAYoungExecutor()
    {
        constexpr milliseconds youngAge{500};
        constexpr milliseconds oldAge{120'000};
        CPPUNIT_ASSERT(!startsInheritedJob(registration(2), youngAge));
        CPPUNIT_ASSERT(startsInheritedJob(registration(2), oldAge));
        executor_registration restarted = registration(2);
        restarted.hasRestarted = true;
        CPPUNIT_ASSERT(!startsInheritedJob(restarted, scheduler::unknownAge));
        CPPUNIT_ASSERT(startsInheritedJob(restarted, oldAge));
        CPPUNIT_ASSERT(
            startsInheritedJob(registration(2), scheduler::unknownAge, milliseconds{90'000}));
    }

    /** An intermediary has kept the connection, so that an order reaches the new incarnation. Its
        answer is lost as the executor is cut off, before it has registered or reported. */
    void unansweredOrderMayHaveReachedAnUnheardIncarnation()
    {
        makeLongSimulation(false);
        m_long->restartUnnoticed(m_used, milliseconds{30'000});
        m_long->loseAnswers(1);
        m_long->submit(makeJob(jobA, 1));
        for (int step = 0; step < 100 && m_long->executor(m_used).running().empty(); ++step)
            m_long->advance(milliseconds{1});
        CPPUNIT_ASSERT(!m_long->executor(m_used).running().empty());
        m_long->setDisconnected(m_used, true);
        m_long->advance(milliseconds{12'000});
        for (const std::string &each : m_long->violations())
            CPPUNIT_FAIL(each);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_long->startsOf({jobA, 0, 0, 0}));
    }

    void orderThatMeetsARestartedExecutorGoesElsewhere()
    {
        scheduler scheduling = makeScheduler();
        const start_order order = placeOne(scheduling);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, order.startedUnixMs);
        addOther(scheduling);
        scheduling.applyStartOutcome(order, start_outcome::restarted, at(10));
        advance(scheduling, at(20));
        const executor_orders orders = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"other"}, std::get<start_order>(orders.front()).executor);
    }

private:
    /** Longest lease on a clock that is 2 % slow. */
    static constexpr int longestLeaseMs{6122};

    [[nodiscard]] static boot_time at(int millis)
    {
        return boot_time{std::chrono::seconds{1000}} + milliseconds{millis};
    }

    [[nodiscard]] static executor_registration registration(std::int64_t startedUnixMs)
    {
        executor_registration info;
        info.id = "e";
        info.address = "127.0.0.1:1";
        info.pool = "pool";
        info.zone = "zone";
        info.capacity = {16'000, 65'536, 0};
        info.startedUnixMs = startedUnixMs;
        return info;
    }

    [[nodiscard]] static executor_report report(std::int64_t startedUnixMs)
    {
        executor_report made;
        made.clock = milliseconds{100};
        made.startedUnixMs = startedUnixMs;
        return made;
    }

    [[nodiscard]] static executor_report report(std::int64_t startedUnixMs, reported_run run)
    {
        executor_report made = report(startedUnixMs);
        made.running.push_back(std::move(run));
        return made;
    }

    /** Returns a scheduler whose only executor has reported that nothing runs on it. */
    [[nodiscard]] scheduler makeScheduler(std::int64_t startedUnixMs = 1) const
    {
        scheduler made{scheduling_options{}, 1000};
        made.apply(m_simulation.config);
        made.registerExecutor(registration(startedUnixMs), at(-100));
        made.executors().find("e")->ownershipRecorded = true;
        made.applyReport("e", report(startedUnixMs), at(-60), at(-50));
        return made;
    }

    /** Adds an executor that may get runs. */
    static void addOther(scheduler &scheduling)
    {
        executor_registration info = registration(1);
        info.id = "other";
        info.address = "127.0.0.1:2";
        scheduling.registerExecutor(info, at(0));
        scheduling.executors().find(info.id)->ownershipRecorded = true;
        scheduling.applyReport(info.id, report(1), at(0), at(5));
    }

    [[nodiscard]] static start_order placeOne(scheduler &scheduling)
    {
        scheduling.addJob(makeJob(jobA, 1), {}, 0, false, at(0));
        advance(scheduling, at(0));
        const executor_orders orders = scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        return std::get<start_order>(orders.front());
    }

    static void advance(scheduler &scheduling, boot_time now)
    {
        scheduling.advance(now, milliseconds{1'000'000}, now);
    }

    void assertEachTaskStarted(const char *job, std::uint32_t tasks, std::size_t times)
    {
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT_EQUAL(times, m_simulation.startsOf({job, 0, 0, index}));
    }

    /** Returns whether an owner that takes over starts a job of its predecessor within 10 s, which
        exceeds the usual wait, although the executor is silent. */
    [[nodiscard]] bool startsInheritedJob(const executor_registration &record, milliseconds age,
                                          milliseconds maxLeaseTerm = milliseconds{10'000})
    {
        scheduling_options options;
        options.maxLeaseTerm = maxLeaseTerm;
        scheduler scheduling{options, 1000};
        scheduling.apply(m_simulation.config);
        scheduling.inheritExecutor(record, at(0), age);
        scheduling.addJob(makeJob(jobA, 1), {}, 0, true, at(0));
        addOther(scheduling);
        advance(scheduling, at(10'000));
        return !scheduling.takeOrders().empty();
    }

    /** Makes two executors, of which one has a run, so that it gets the next one. */
    void makeLongSimulation(bool peersIdentified)
    {
        scheduling_options options;
        options.maxLeaseTerm = milliseconds{10'000};
        m_long = std::make_unique<scheduler_simulation>(options);
        m_long->setPeersIdentified(peersIdentified);
        m_long->setPlan([](const task_id &) {
            return run_plan{milliseconds{20'000}, run_end::done};
        });
        for (const char *const each : {"e1", "e2"}) {
            m_long->addExecutor(each);
            m_long->executor(each).maxLease = options.maxLeaseTerm;
        }
        // The clock of the former incarnation is far ahead of that of the new one.
        m_long->advance(milliseconds{20'000});
        m_long->submit(makeJob(firstJob, 1));
        m_long->advance(milliseconds{500});
        m_used = m_long->executor("e1").running().empty() ? "e2" : "e1";
    }

    /** Restarts one of two executors unnoticed, lets tasks of 20 s be ordered on it, and passes the
        time until it has registered and is recorded. */
    void restartUnderLongTasks(bool peersIdentified)
    {
        makeLongSimulation(peersIdentified);
        m_long->restartUnnoticed(m_used);
        m_long->submit(makeJob(jobA, 4));
        m_long->advance(milliseconds{1500});
    }

    /** A task that is started again after its lease is over may have two starts, but never two runs
        at once. */
    void assertLongTasksRanOnce()
    {
        for (const std::string &each : m_long->violations())
            CPPUNIT_FAIL(each);
        for (std::uint32_t index = 0; index < 4; ++index)
            CPPUNIT_ASSERT(m_long->startsOf({jobA, 0, 0, index}) >= 1);
    }

    scheduler_simulation m_simulation{};
    std::unique_ptr<scheduler_simulation> m_long{};
    /** The executor that gets the next tasks. */
    std::string m_used{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(executor_restart_test);

} // namespace
