#include <support/captured_log.hpp>

#include <azurelb/control/owner_metrics.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/scheduling/scheduler.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char jobA[]{"aaaaaaaaaaaaaaaa"};
constexpr char jobB[]{"bbbbbbbbbbbbbbbb"};
constexpr char executorName[]{"e"};

/** Two starts of a task could not be explained from the logs: neither its ends nor why it was
    started again had a line. */
class run_trace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(run_trace_test);
    CPPUNIT_TEST(endAsDoneNamesTaskRunAndIncarnation);
    CPPUNIT_TEST(otherEndNamesIncarnationAndNumber);
    CPPUNIT_TEST(endsOfOneReportAreListedInLinesOfBoundedLength);
    CPPUNIT_TEST(endsOfSeveralExecutorsShareALine);
    CPPUNIT_TEST(acknowledgementsAreListedInLinesOfBoundedLength);
    CPPUNIT_TEST(runOfAFormerIncarnationIsGivenUp);
    CPPUNIT_TEST(runWhoseLeaseIsOverIsGivenUp);
    CPPUNIT_TEST(runThatIsNotListedIsGivenUp);
    CPPUNIT_TEST(runOfAnEndedExecutorIsGivenUp);
    CPPUNIT_TEST(runsOfADoneTaskAreNotGivenUp);
    CPPUNIT_TEST(endOfALapsedRunDoesNotCount);
    CPPUNIT_TEST(secondEndOfATaskDoesNotCount);
    CPPUNIT_TEST(reportOfAFormerIncarnationIsNotApplied);
    CPPUNIT_TEST(earlierRunsAreListedOnce);
    CPPUNIT_TEST(startAfterATakeoverIsMarked);
    CPPUNIT_TEST(rejectedStartIsNoReasonOfItsOwn);
    CPPUNIT_TEST(gangThatFindsNoRoomLeavesNoTrace);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_log.emplace();
        m_scheduling.apply(catalogue{});
        m_scheduling.registerExecutor(registration(1), at(-100));
        m_scheduling.executors().find(executorName)->ownershipRecorded = true;
        m_scheduling.applyReport(executorName, report(1), at(-60), at(-50));
    }

    void tearDown() override { m_log.reset(); }

    void endAsDoneNamesTaskRunAndIncarnation()
    {
        const start_order order = startOne();
        m_scheduling.applyReport(executorName, report(1, endOf(3, order, run_end::done)), at(200),
                                 at(210));
        const std::string line = onlyLine("916 ends_done");
        CPPUNIT_ASSERT_EQUAL("e/1/3=" + nameOf(order), fieldOf(line, "ends"));
    }

    void otherEndNamesIncarnationAndNumber()
    {
        const start_order order = startOne();
        m_scheduling.applyReport(executorName, report(1, endOf(3, order, run_end::failed)), at(200),
                                 at(210));
        const std::string line = onlyLine("913 run_ended");
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"3"}, fieldOf(line, "number"));
        CPPUNIT_ASSERT(m_log->linesOf("916 ends_done").empty());
        const start_order again = placeOne(at(300));
        CPPUNIT_ASSERT(again.former.reason == release_reason::ended);
        CPPUNIT_ASSERT_EQUAL(order.run, again.former.run);
        CPPUNIT_ASSERT_EQUAL(1U, again.former.starts);
    }

    void endsOfOneReportAreListedInLinesOfBoundedLength()
    {
        constexpr std::uint32_t tasks{45};
        constexpr std::size_t maxLength{4000};
        m_scheduling.addJob(makeJob(jobA, tasks), {}, 0, false, at(0));
        executor_report made = report(1);
        for (std::uint32_t index = 0; index < tasks; ++index)
            made.ended.push_back({index + 1, {jobA, 0, 0, index}, 7, run_end::done, {}});
        m_scheduling.applyReport(executorName, made, at(0), at(10));
        record();
        const auto lines = m_log->linesOf("916 ends_done");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
        std::string all;
        for (const std::string &each : lines) {
            CPPUNIT_ASSERT(each.size() < maxLength);
            CPPUNIT_ASSERT(fieldOf(each, "ends").starts_with("e/1/45="));
            all += fieldOf(each, "ends") + ',';
        }
        for (const ended_run &each : made.ended)
            CPPUNIT_ASSERT(all.find(toString(each.task) + ":7,") != std::string::npos);
    }

    void endsOfSeveralExecutorsShareALine()
    {
        executor_registration other = registration(5);
        other.id = "other";
        m_scheduling.registerExecutor(other, at(-100));
        m_scheduling.addJob(makeJob(jobA, 3), {}, 0, false, at(0));
        executor_report first = report(1);
        first.ended.push_back({1, {jobA, 0, 0, 0}, 7, run_end::done, {}});
        first.ended.push_back({2, {jobA, 0, 0, 1}, 8, run_end::done, {}});
        m_scheduling.applyReport(executorName, first, at(0), at(10));
        m_scheduling.applyReport("other", report(5, {4, {jobA, 0, 0, 2}, 9, run_end::done, {}}),
                                 at(0), at(10));
        CPPUNIT_ASSERT_EQUAL(std::string{"e/1/2=aaaaaaaaaaaaaaaa.0.0.0:7,aaaaaaaaaaaaaaaa.0.0.1:8 "
                                         "other/5/4=aaaaaaaaaaaaaaaa.0.0.2:9"},
                             fieldOf(onlyLine("916 ends_done"), "ends"));
    }

    void acknowledgementsAreListedInLinesOfBoundedLength()
    {
        constexpr std::size_t executors{70};
        constexpr std::size_t maxLength{4000};
        std::vector<acknowledged_ends> acknowledged;
        for (std::size_t index = 0; index < executors; ++index)
            acknowledged.push_back({"i-0123456789" + std::to_string(index), 1'796'594'940'999, 4});
        owner_metrics::recordAcknowledgements(acknowledged);
        std::size_t listed = 0;
        for (const std::string &each : m_log->linesOf("917 ends_acknowledged")) {
            CPPUNIT_ASSERT(each.size() < maxLength);
            const std::string list = fieldOf(each, "up_to");
            listed += static_cast<std::size_t>(std::count(list.begin(), list.end(), ' ')) + 1;
        }
        CPPUNIT_ASSERT_EQUAL(executors, listed);
    }

    void runOfAFormerIncarnationIsGivenUp()
    {
        const start_order order = startOne();
        m_scheduling.registerExecutor(registration(2), at(500));
        const std::string line = onlyLine("915 run_given_up");
        CPPUNIT_ASSERT_EQUAL(std::string{executorName}, fieldOf(line, "executor"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"executor-restarted"}, fieldOf(line, "reason"));
        CPPUNIT_ASSERT_EQUAL(std::string{"400"}, fieldOf(line, "report_age_ms"));
        CPPUNIT_ASSERT(fieldOf(line, "lease_over_ms").starts_with('-'));
        CPPUNIT_ASSERT_EQUAL(nameOf(order), fieldOf(line, "runs"));
        CPPUNIT_ASSERT_EQUAL(1.0, givenUp("executor-restarted"));
    }

    void runWhoseLeaseIsOverIsGivenUp()
    {
        const start_order order = startOne();
        m_scheduling.markUnresponsive(executorName);
        advance(at(9000));
        const std::string line = onlyLine("915 run_given_up");
        CPPUNIT_ASSERT_EQUAL(std::string{"lease-over"}, fieldOf(line, "reason"));
        CPPUNIT_ASSERT_EQUAL(std::string{"8900"}, fieldOf(line, "report_age_ms"));
        CPPUNIT_ASSERT(std::stoi(fieldOf(line, "lease_over_ms")) > 0);
        CPPUNIT_ASSERT_EQUAL(nameOf(order), fieldOf(line, "runs"));
        m_scheduling.applyReport(executorName, report(1), at(9010), at(9020));
        const start_order again = placeOne(at(9100));
        CPPUNIT_ASSERT(again.former.reason == release_reason::lease_over);
    }

    void runThatIsNotListedIsGivenUp()
    {
        const start_order order = startOne();
        m_scheduling.applyReport(executorName, report(1), at(200), at(210));
        const std::string line = onlyLine("915 run_given_up");
        CPPUNIT_ASSERT_EQUAL(std::string{"not-listed"}, fieldOf(line, "reason"));
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, fieldOf(line, "report_age_ms"));
        CPPUNIT_ASSERT_EQUAL(nameOf(order), fieldOf(line, "runs"));
    }

    void runOfAnEndedExecutorIsGivenUp()
    {
        (void)startOne();
        m_scheduling.endExecutor(executorName, at(200));
        CPPUNIT_ASSERT_EQUAL(std::string{"executor-ended"},
                             fieldOf(onlyLine("915 run_given_up"), "reason"));
    }

    void runsOfADoneTaskAreNotGivenUp()
    {
        (void)startOne();
        m_scheduling.cancelJob(jobA, at(150));
        m_scheduling.endExecutor(executorName, at(200));
        record();
        CPPUNIT_ASSERT(m_log->linesOf("915 run_given_up").empty());
    }

    void endOfALapsedRunDoesNotCount()
    {
        const start_order order = startOne();
        m_scheduling.markUnresponsive(executorName);
        advance(at(9000));
        m_scheduling.applyReport(executorName, report(1, endOf(3, order, run_end::done)), at(9010),
                                 at(9020));
        const std::string line = onlyLine("918 end_not_counted");
        CPPUNIT_ASSERT_EQUAL(toString(order.task), fieldOf(line, "task"));
        CPPUNIT_ASSERT_EQUAL(std::to_string(order.run), fieldOf(line, "run"));
        CPPUNIT_ASSERT_EQUAL(std::string{"done"}, fieldOf(line, "end"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"3"}, fieldOf(line, "number"));
        CPPUNIT_ASSERT_EQUAL(std::string{"lease-over"}, fieldOf(line, "reason"));
        CPPUNIT_ASSERT(m_log->linesOf("916 ends_done").empty());
        CPPUNIT_ASSERT_EQUAL(
            1.0,
            m_metrics.counter("azurelb_ends_not_counted_total", "", {{"reason", "lease-over"}})
                .Value());
    }

    void secondEndOfATaskDoesNotCount()
    {
        m_scheduling.addJob(makeJob(jobA, 2), {}, 0, false, at(0));
        advance(at(10));
        executor_report made = report(1);
        made.ended.push_back({1, {jobA, 0, 0, 0}, 7, run_end::done, {}});
        made.ended.push_back({2, {jobA, 0, 0, 0}, 8, run_end::done, {}});
        made.ended.push_back({3, {jobB, 0, 0, 0}, 9, run_end::done, {}});
        m_scheduling.applyReport(executorName, made, at(20), at(30));
        record();
        const auto lines = m_log->linesOf("918 end_not_counted");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"task-done"}, fieldOf(lines.front(), "reason"));
        CPPUNIT_ASSERT_EQUAL(std::string{"8"}, fieldOf(lines.front(), "run"));
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown-job"}, fieldOf(lines.back(), "reason"));
    }

    void reportOfAFormerIncarnationIsNotApplied()
    {
        m_scheduling.registerExecutor(registration(2), at(100));
        m_scheduling.applyReport(executorName, report(1), at(50), at(110));
        const std::string line = onlyLine("919 report_not_applied");
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(line, "born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, fieldOf(line, "known_born"));
        CPPUNIT_ASSERT_EQUAL(1.0,
                             m_metrics.counter("azurelb_reports_not_applied_total", "").Value());
    }

    void earlierRunsAreListedOnce()
    {
        inheritOne();
        executor_report made = report(1);
        made.running.push_back({{jobA, 0, 0, 0}, 7, {}, 10, 0});
        made.ended.push_back({4, {jobB, 0, 0, 0}, 6, run_end::done, {}});
        m_inheriting.applyReport(executorName, made, at(10), at(20));
        m_inheriting.applyReport(executorName, made, at(30), at(40));
        record(m_inheriting);
        const auto lines = m_log->linesOf("926 earlier_runs_listed");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(lines.front(), "born"));
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, fieldOf(lines.front(), "ended"));
        CPPUNIT_ASSERT_EQUAL(std::string{"4"}, fieldOf(lines.front(), "first_end"));
        CPPUNIT_ASSERT_EQUAL(std::string{"aaaaaaaaaaaaaaaa.0.0.0:7"},
                             fieldOf(lines.front(), "running"));
    }

    void startAfterATakeoverIsMarked()
    {
        inheritOne();
        m_inheriting.applyReport(executorName, report(1), at(10), at(20));
        m_inheriting.advance(at(100), milliseconds{0}, at(100));
        const auto orders = m_inheriting.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(std::get<start_order>(orders.front()).former.reason
                       == release_reason::earlier_owner);
    }

    /** Its line 911 has the outcome. */
    void rejectedStartIsNoReasonOfItsOwn()
    {
        m_scheduling.addJob(makeJob(jobA, 1), {}, 0, false, at(0));
        const start_order order = placeOne(at(50));
        CPPUNIT_ASSERT(order.former.reason == release_reason::none);
        m_scheduling.applyStartOutcome(order, start_outcome::withheld, at(60));
        record();
        CPPUNIT_ASSERT(m_log->linesOf("915 run_given_up").empty());
        const start_order again = placeOne(at(400));
        CPPUNIT_ASSERT(again.former.reason == release_reason::not_started);
        CPPUNIT_ASSERT_EQUAL(order.run, again.former.run);
    }

    void gangThatFindsNoRoomLeavesNoTrace()
    {
        job_record job = makeJob(jobA, 3);
        job.steps.front().gang = true;
        job.steps.front().request = {6000, 512, 0};
        m_scheduling.addJob(job, {}, 0, false, at(0));
        advance(at(50));
        CPPUNIT_ASSERT(m_scheduling.takeOrders().empty());
        CPPUNIT_ASSERT(m_log->linesOf("915 run_given_up").empty());
        const former_run &former = m_scheduling.jobs().find(task_id{jobA, 0, 0, 0})->former;
        CPPUNIT_ASSERT(former.reason == release_reason::none);
        CPPUNIT_ASSERT_EQUAL(0U, former.starts);
    }

private:
    [[nodiscard]] static boot_time at(int millis)
    {
        return boot_time{std::chrono::seconds{1000}} + milliseconds{millis};
    }

    [[nodiscard]] static executor_registration registration(std::int64_t startedUnixMs)
    {
        executor_registration info;
        info.id = executorName;
        info.address = "127.0.0.1:1";
        info.pool = "pool";
        info.zone = "zone";
        info.capacity = {16'000, 65'536, 0};
        info.startedUnixMs = startedUnixMs;
        return info;
    }

    [[nodiscard]] static job_record makeJob(const std::string &id, std::uint32_t tasks)
    {
        job_record job;
        job.id = id;
        job.queue = "queue";
        job.pool = "pool";
        job.steps.resize(1);
        job.steps.front().taskCount = tasks;
        job.steps.front().request = {1000, 512, 0};
        return job;
    }

    [[nodiscard]] static executor_report report(std::int64_t startedUnixMs)
    {
        executor_report made;
        made.clock = milliseconds{100};
        made.startedUnixMs = startedUnixMs;
        return made;
    }

    [[nodiscard]] static executor_report report(std::int64_t startedUnixMs, ended_run end)
    {
        executor_report made = report(startedUnixMs);
        made.ended.push_back(std::move(end));
        return made;
    }

    [[nodiscard]] static ended_run endOf(std::int64_t sequence, const start_order &order,
                                         run_end end)
    {
        return {sequence, order.task, order.run, end, {}};
    }

    [[nodiscard]] static std::string nameOf(const start_order &order)
    {
        return toString(order.task) + ':' + std::to_string(order.run);
    }

    /** Returns the order of the only run that the scheduler starts. */
    [[nodiscard]] start_order placeOne(boot_time now)
    {
        advance(now);
        const executor_orders orders = m_scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        return std::get<start_order>(orders.front());
    }

    /** Starts a run that the executor reports at 100 ms. */
    [[nodiscard]] start_order startOne()
    {
        m_scheduling.addJob(makeJob(jobA, 1), {}, 0, false, at(0));
        start_order order = placeOne(at(50));
        m_scheduling.applyStartOutcome(order, start_outcome::started, at(60));
        executor_report made = report(1);
        made.running.push_back({order.task, order.run, {}, 10, 0});
        m_scheduling.applyReport(executorName, made, at(90), at(100));
        return order;
    }

    void inheritOne()
    {
        m_inheriting.inheritExecutor(registration(1), at(0));
        m_inheriting.addJob(makeJob(jobA, 1), {}, 0, true, at(0));
        m_inheriting.registerExecutor(registration(1), at(0));
    }

    void advance(boot_time now)
    {
        m_scheduling.advance(now, milliseconds{0}, now);
        record();
    }

    void record() { record(m_scheduling); }

    void record(scheduler &from) { m_ownerMetrics.record(from.takeNotices()); }

    [[nodiscard]] std::string onlyLine(std::string_view event)
    {
        record();
        const auto lines = m_log->linesOf(event);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        return lines.front();
    }

    [[nodiscard]] double givenUp(const std::string &reason)
    {
        return m_metrics.counter("azurelb_runs_given_up_total", "", {{"reason", reason}}).Value();
    }

    std::optional<captured_log> m_log{};
    metrics m_metrics{};
    owner_metrics m_ownerMetrics{m_metrics};
    scheduler m_scheduling{scheduling_options{}, 1000};
    /** Of an owner that has taken over. */
    scheduler m_inheriting{scheduling_options{}, 2000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_trace_test);

} // namespace
