#include "scheduler_simulation.hpp"

#include <azurelb/jobs/job_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char jobName[]{"aaaaaaaaaaaaaaaa"};

/** One gang of two members on different executors, whose runs save checkpoints. */
class gang_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gang_test);
    CPPUNIT_TEST(membersResumeFromOneCheckpoint);
    CPPUNIT_TEST(membersResumeFromOneCheckpointAfterATakeover);
    CPPUNIT_TEST(lateEndKeepsTheCheckpointOfALaterRun);
    CPPUNIT_TEST(rejectedMemberEndsTheRunOfTheOthers);
    CPPUNIT_TEST(memberOnAnEndedExecutorEndsTheRunOfTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (const char *const each : {"e1", "e2", "e3"})
            addExecutor(m_scheduling, each);
        job_record job = makeJob(jobName, 2);
        job.steps.front().gang = true;
        job.steps.front().savesCheckpoints = true;
        job.steps.front().maxPerExecutor = 1;
        m_job = job;
        m_scheduling.addJob(job, {}, 0, false, m_now);
    }

    /** Guards against gangs that end alone again and again after an executor was lost (review case
        13): each member resumed from the checkpoint that it had saved itself. */
    void membersResumeFromOneCheckpoint()
    {
        const std::vector<start_order> first = place(m_scheduling);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
        reportRunning(first[0], "0a");
        reportRunning(first[1], "0b");
        m_scheduling.endExecutor(first[1].executor, m_now);
        reportEnd(first[0], run_end::gang_broken, "0c");
        assertOneCheckpoint(place(m_scheduling), {"0c"});
    }

    /** The predecessor, of an earlier version, has stored one checkpoint for each member. */
    void membersResumeFromOneCheckpointAfterATakeover()
    {
        job_progress stored{job_state::running, {}, {}};
        stored.tasks.push_back({0, 0, 0, false, {}, 5, ""});
        stored.tasks.push_back({0, 0, 1, false, {}, 5, "0b"});
        scheduler successor{{}, 1'000'000};
        for (const char *const each : {"e1", "e2"})
            addExecutor(successor, each);
        successor.addJob(m_job, *decodeProgress(encode(stored)), 1, true, m_now);
        assertOneCheckpoint(place(successor), {"0b"});
        const job_progress next = job_table::progressOf(*successor.jobs().find(jobName));
        CPPUNIT_ASSERT_EQUAL(std::string{"0b"}, next.tasks.front().checkpoint);
        CPPUNIT_ASSERT(next.tasks.back().checkpoint.empty());
    }

    /** An end of an earlier run arrives after a later one has saved its progress. */
    void lateEndKeepsTheCheckpointOfALaterRun()
    {
        const std::vector<start_order> first = place(m_scheduling);
        reportRunning(first[0], "0a");
        m_scheduling.endExecutor(first[0].executor, m_now);
        reportEnd(first[1], run_end::gang_broken, "0b");
        const std::vector<start_order> second = place(m_scheduling);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.size());
        reportRunning(second[0], "0d");
        ended_run late{1, first[0].task, first[0].run, run_end::gang_broken, "0a"};
        (void)m_scheduling.jobs().applyEnd(late, first[0].executor, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"0d"}, m_scheduling.jobs().checkpointOf(first[0].task));
    }

    /** Guards against members that wait for one whose start was rejected, and end alone: they hold
        their resources for seconds, and the gang starts again only then. */
    void rejectedMemberEndsTheRunOfTheOthers()
    {
        m_now += milliseconds{50};
        m_scheduling.advance(m_now, {}, m_now);
        const executor_orders orders = m_scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
        const auto &started = std::get<start_order>(orders[0]);
        const auto &rejected = std::get<start_order>(orders[1]);
        m_scheduling.applyStartOutcome(started, start_outcome::started, m_now);
        m_scheduling.applyStartOutcome(rejected, start_outcome::unhealthy, m_now);
        const executor_orders stops = m_scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT(std::get<stop_order>(stops.front()).task == started.task);
        reportEnd(started, run_end::stopped, {});
        const std::vector<start_order> next = place(m_scheduling);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, next.size());
        for (const start_order &each : next) {
            CPPUNIT_ASSERT(each.executor != rejected.executor);
            CPPUNIT_ASSERT(each.run > started.run);
        }
    }

    /** The same with an executor that turns out to have ended. */
    void memberOnAnEndedExecutorEndsTheRunOfTheOthers()
    {
        m_now += milliseconds{50};
        m_scheduling.advance(m_now, {}, m_now);
        const executor_orders orders = m_scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, orders.size());
        m_scheduling.applyStartOutcome(std::get<start_order>(orders[1]),
                                       start_outcome::other_incarnation, m_now);
        const executor_orders stops = m_scheduling.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        CPPUNIT_ASSERT(std::get<stop_order>(stops.front()).task
                       == std::get<start_order>(orders[0]).task);
    }

private:
    void addExecutor(scheduler &to, const std::string &id) const
    {
        executor_registration info;
        info.id = id;
        info.address = id;
        info.pool = "pool";
        info.zone = "zone";
        info.capacity = {16'000, 65'536, 0};
        info.startedUnixMs = 1;
        to.registerExecutor(info, m_now);
        to.executors().find(id)->ownershipRecorded = true;
        executor_report report;
        report.startedUnixMs = 1;
        to.applyReport(id, report, m_now, m_now);
    }

    std::vector<start_order> place(scheduler &with)
    {
        m_now += milliseconds{50};
        with.advance(m_now, {}, m_now);
        std::vector<start_order> starts;
        for (const executor_order &each : with.takeOrders()) {
            if (const auto *const start = std::get_if<start_order>(&each)) {
                starts.push_back(*start);
                with.applyStartOutcome(*start, start_outcome::started, m_now);
            }
        }
        return starts;
    }

    void report(const start_order &of, executor_report &&content)
    {
        m_now += milliseconds{50};
        content.startedUnixMs = 1;
        m_scheduling.applyReport(of.executor, content, m_now, m_now);
    }

    void reportRunning(const start_order &of, const std::string &checkpoint)
    {
        executor_report content;
        content.running.push_back({of.task, of.run, checkpoint, 50, 0});
        report(of, std::move(content));
    }

    void reportEnd(const start_order &of, run_end end, const std::string &checkpoint)
    {
        executor_report content;
        content.ended.push_back({1, of.task, of.run, end, checkpoint});
        report(of, std::move(content));
    }

    static void assertOneCheckpoint(const std::vector<start_order> &starts,
                                    const std::set<std::string> &expected)
    {
        std::set<std::string> checkpoints;
        for (const start_order &each : starts)
            checkpoints.insert(each.checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
        CPPUNIT_ASSERT(checkpoints == expected);
    }

    boot_time m_now{std::chrono::seconds{1000}};
    job_record m_job{};
    scheduler m_scheduling{{}, 0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(gang_test);

} // namespace
