#include "scheduler_simulation.hpp"

#include <azurelb/jobs/job_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <variant>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char jobA[]{"aaaaaaaaaaaaaaaa"};
constexpr char jobB[]{"bbbbbbbbbbbbbbbb"};
constexpr std::int64_t newerVersion{5};

/** A new owner has not read a configuration or a job yet that its predecessor has acted on. If it
    takes the runs of such jobs for unwanted, it stops them and acknowledges their ends, and starts
    their tasks again once it has read on. */
class unread_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unread_state_test);
    CPPUNIT_TEST(adoptsRunsUnderAnUnreadConfiguration);
    CPPUNIT_TEST(countsEndsUnderAnUnreadConfiguration);
    CPPUNIT_TEST(startsNothingUnderAnUnreadConfiguration);
    CPPUNIT_TEST(failsExhaustedJobsOnceTheConfigurationIsRead);
    CPPUNIT_TEST(jobsOfARemovedQueueKeepTheirLimitOfAttempts);
    CPPUNIT_TEST(leavesRunsOfUnreadJobsAlone);
    CPPUNIT_TEST(adoptsRunsOnceTheirJobIsRead);
    CPPUNIT_TEST(countsEndsOnceTheirJobIsRead);
    CPPUNIT_TEST(endsBehindAnUndecidedOneAreNotTakenForLost);
    CPPUNIT_TEST(stopsRunsOfJobsThatDoNotExist);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_config = m_simulation.config;
        m_scheduler.apply(m_config);
        for (const char *const id : {"e", "other"}) {
            executor_registration info;
            info.id = id;
            info.address = "127.0.0.1:1";
            info.pool = "pool";
            info.zone = "zone";
            info.capacity = {16'000, 65'536, 0};
            info.startedUnixMs = 1;
            m_scheduler.registerExecutor(info, at(-100));
            m_scheduler.executors().find(id)->ownershipRecorded = true;
            m_scheduler.applyReport(id, report(), at(-60), at(-50));
        }
    }

    void adoptsRunsUnderAnUnreadConfiguration()
    {
        addJobOfNewerVersion();
        m_scheduler.applyReport("e", running(taskOf(jobA)), at(0), at(10));
        advance(at(20));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        readConfiguration();
        advance(at(100));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        CPPUNIT_ASSERT(m_scheduler.executors().find("e")->used.cpu > 0);
    }

    void countsEndsUnderAnUnreadConfiguration()
    {
        addJobOfNewerVersion();
        m_scheduler.applyReport("e", ended({{1, taskOf(jobA), 7, run_end::done, {}}}), at(0),
                                at(10));
        readConfiguration();
        advance(at(100));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        CPPUNIT_ASSERT(m_scheduler.jobs().find(jobA)->state == job_state::completed);
    }

    void startsNothingUnderAnUnreadConfiguration()
    {
        addJobOfNewerVersion();
        advance(at(20));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        readConfiguration();
        advance(at(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler.takeOrders().size());
    }

    /** The limit of attempts is unknown while the queue's settings are. */
    void failsExhaustedJobsOnceTheConfigurationIsRead()
    {
        m_scheduler.apply({});
        addJobOfNewerVersion();
        m_scheduler.applyReport("e",
                                ended({{1, taskOf(jobA), 7, run_end::failed, {}},
                                       {2, taskOf(jobA), 8, run_end::failed, {}}}),
                                at(0), at(10));
        advance(at(20));
        readConfiguration();
        advance(at(100));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        CPPUNIT_ASSERT(m_scheduler.jobs().find(jobA)->state == job_state::failed);
    }

    /** A route was removed before the takeover: its jobs go on, and the new owner can't read their
        limit from the configuration any more. */
    void jobsOfARemovedQueueKeepTheirLimitOfAttempts()
    {
        m_config.queues.clear();
        m_scheduler.apply(m_config);
        job_record job = makeJob(jobA, 1);
        job.maxAttempts = 2;
        const auto stored = decodeJob(encode(job));
        CPPUNIT_ASSERT(stored.has_value());
        m_scheduler.addJob(*stored, {}, 0, true, at(-200));
        m_scheduler.applyReport("e",
                                ended({{1, taskOf(jobA), 7, run_end::failed, {}},
                                       {2, taskOf(jobA), 8, run_end::failed, {}}}),
                                at(0), at(10));
        advance(at(20));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        CPPUNIT_ASSERT(m_scheduler.jobs().find(jobA)->state == job_state::failed);
    }

    void leavesRunsOfUnreadJobsAlone()
    {
        m_scheduler.setJobsReadAt(at(-500));
        executor_report made = ended({{1, taskOf(jobB), 3, run_end::done, {}}});
        made.running.push_back({taskOf(jobA), 7, {}, 10, 0});
        m_scheduler.applyReport("e", made, at(0), at(10));
        advance(at(20));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        CPPUNIT_ASSERT(m_scheduler.hasUndecidedRuns(*m_scheduler.executors().find("e")));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_scheduler.executors().find("e")->lastProcessedEnd);
    }

    void adoptsRunsOnceTheirJobIsRead()
    {
        m_scheduler.setJobsReadAt(at(-500));
        m_scheduler.applyReport("e", running(taskOf(jobA)), at(0), at(10));
        m_scheduler.addJob(makeJob(jobA, 1), {}, 0, false, at(30));
        advance(at(50));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        CPPUNIT_ASSERT(m_scheduler.executors().find("e", taskOf(jobA)) != nullptr);
        CPPUNIT_ASSERT(!m_scheduler.hasUndecidedRuns(*m_scheduler.executors().find("e")));
    }

    void countsEndsOnceTheirJobIsRead()
    {
        m_scheduler.setJobsReadAt(at(-500));
        m_scheduler.applyReport("e", ended({{1, taskOf(jobA), 7, run_end::done, {}}}), at(0),
                                at(10));
        m_scheduler.addJob(makeJob(jobA, 1), {}, 0, false, at(30));
        advance(at(50));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        CPPUNIT_ASSERT(m_scheduler.jobs().find(jobA)->state == job_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, m_scheduler.executors().find("e")->lastProcessedEnd);
    }

    /** Ends are acknowledged in their order, so a known job's end waits for the one before it. Its
        run is no longer listed as running. */
    void endsBehindAnUndecidedOneAreNotTakenForLost()
    {
        m_scheduler.addJob(makeJob(jobB, 1), {}, 0, false, at(0));
        m_scheduler.applyReport("e", running(taskOf(jobB)), at(0), at(10));
        m_scheduler.setJobsReadAt(at(-500));
        m_scheduler.applyReport("e",
                                ended({{1, taskOf(jobA), 9, run_end::done, {}},
                                       {2, taskOf(jobB), 7, run_end::done, {}}}),
                                at(100), at(110));
        advance(at(200));
        CPPUNIT_ASSERT(m_scheduler.takeOrders().empty());
        m_scheduler.setJobsReadAt(at(300));
        m_scheduler.applyReport("e",
                                ended({{1, taskOf(jobA), 9, run_end::done, {}},
                                       {2, taskOf(jobB), 7, run_end::done, {}}}),
                                at(400), at(410));
        CPPUNIT_ASSERT(m_scheduler.jobs().find(jobB)->state == job_state::completed);
    }

    /** The jobs have been read after the report, and the job is not among them. */
    void stopsRunsOfJobsThatDoNotExist()
    {
        m_scheduler.setJobsReadAt(at(-500));
        m_scheduler.applyReport("e", running(taskOf(jobA)), at(0), at(10));
        m_scheduler.setJobsReadAt(at(11));
        m_scheduler.applyReport("e", running(taskOf(jobA)), at(100), at(110));
        const executor_orders orders = m_scheduler.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(std::holds_alternative<stop_order>(orders.front()));
        CPPUNIT_ASSERT(!m_scheduler.hasUndecidedRuns(*m_scheduler.executors().find("e")));
    }

private:
    [[nodiscard]] static boot_time at(int millis)
    {
        return boot_time{std::chrono::seconds{1000}} + milliseconds{millis};
    }

    [[nodiscard]] static task_id taskOf(const char *job) { return {job, 0, 0, 0}; }

    [[nodiscard]] static executor_report report()
    {
        executor_report made;
        made.clock = milliseconds{100};
        made.startedUnixMs = 1;
        return made;
    }

    [[nodiscard]] static executor_report running(const task_id &task)
    {
        executor_report made = report();
        made.running.push_back({task, 7, {}, 10, 0});
        return made;
    }

    [[nodiscard]] static executor_report ended(std::vector<ended_run> ends)
    {
        executor_report made = report();
        made.ended = std::move(ends);
        return made;
    }

    void addJobOfNewerVersion()
    {
        job_record job = makeJob(jobA, 1);
        job.configVersion = newerVersion;
        m_scheduler.addJob(job, {}, 0, true, at(-200));
    }

    void readConfiguration()
    {
        m_config.version = newerVersion;
        m_scheduler.apply(m_config);
    }

    void advance(boot_time now) { m_scheduler.advance(now, milliseconds{1'000'000}, now); }

    scheduler_simulation m_simulation{};
    catalogue m_config{};
    scheduler m_scheduler{scheduling_options{}, 1000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(unread_state_test);

} // namespace
