#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/jobs/job_record.hpp>
#include <azurelb/jobs/task_id.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;

job_record sampleJob()
{
    job_record job;
    job.id = "5c0e7a21d94b36f8";
    job.queue = "seating";
    job.pool = "lofts";
    job.team = "lecco";
    job.configVersion = 7;
    job.acceptedAt = std::chrono::milliseconds{1'700'000'000'000};
    job.spec = "text with \"quotes\"";
    job.repeats = 3;
    job.firstDue = std::chrono::milliseconds{1'700'000'001'000};
    job.interval = std::chrono::milliseconds{2000};
    job_step step;
    step.taskCount = 4;
    step.request = {3300, 3400, 1};
    step.estimate = std::chrono::milliseconds{800};
    step.after = {0};
    step.requiredLabel = "a";
    step.preferredRack = "r1-2";
    step.maxPerExecutor = 2;
    step.latencyTarget = std::chrono::milliseconds{90};
    step.limitsUnavailable = true;
    step.maxUnavailable = 1;
    step.gang = step.sameRack = step.savesCheckpoints = true;
    step.allowsCopies = step.longRunning = step.backfill = true;
    step.image = "image-1";
    job.steps = {job_step{}, step};
    job.steps.front().taskCount = 1;
    return job;
}

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(recordRoundTrips);
    CPPUNIT_TEST(progressRoundTrips);
    CPPUNIT_TEST(finalProgressHasOnlyTheState);
    CPPUNIT_TEST(progressOfALargeJobFitsIntoAValue);
    CPPUNIT_TEST(progressOfManyOccurrencesIsShort);
    CPPUNIT_TEST(largeProgressRoundTrips);
    CPPUNIT_TEST(rejectsUnboundedRangesOfDoneTasks);
    CPPUNIT_TEST(rejectsDamagedValues);
    CPPUNIT_TEST(taskIdRoundTrips);
    CPPUNIT_TEST(rejectsMalformedTaskIds);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordRoundTrips()
    {
        const auto read = decodeJob(encode(sampleJob()));
        CPPUNIT_ASSERT(read.has_value());
        // The encoding covers all fields, so that equal texts mean equal records.
        CPPUNIT_ASSERT_EQUAL(encode(sampleJob()), encode(*read));
        CPPUNIT_ASSERT(read->steps.at(1).request == sampleJob().steps.at(1).request);
        CPPUNIT_ASSERT(read->steps.at(1).backfill && read->steps.at(1).limitsUnavailable);
        CPPUNIT_ASSERT(read->interval == sampleJob().interval);
    }

    void progressRoundTrips()
    {
        const job_progress progress{
            job_state::running, {0, 2}, {{1, 0, 3, true, {41, 77}, 77, "0b"}}};
        const auto read = decodeProgress(encode(progress));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->state == job_state::running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, read->completedOccurrences.size());
        const task_progress &task = read->tasks.at(0);
        CPPUNIT_ASSERT_EQUAL(run_number{77}, task.lastEndedRun);
        CPPUNIT_ASSERT((task.failedRuns == std::vector<run_number>{41, 77}));
        CPPUNIT_ASSERT_EQUAL(3U, task.index);
        CPPUNIT_ASSERT(task.done);
        CPPUNIT_ASSERT_EQUAL(std::string{"0b"}, task.checkpoint);
    }

    void finalProgressHasOnlyTheState()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"state":"completed"})"},
                             encode(job_progress{job_state::completed, {}, {}}));
    }

    /** Guards against a job that keeps the progress of all others from being stored: six
       occurrences of 10,000 tasks overlap, and the store takes values of 1 MiB. */
    void progressOfALargeJobFitsIntoAValue()
    {
        CPPUNIT_ASSERT(encode(largeProgress()).size() < 100'000);
    }

    /** Guards against progress that grows with each completed occurrence: it is written whole each
        time, and 100,000 numbers come close to the limit of a value. */
    void progressOfManyOccurrencesIsShort()
    {
        job_progress progress;
        progress.state = job_state::running;
        for (std::uint32_t number = 0; number < 100'000; ++number) {
            if (number % 50'000 != 7)
                progress.completedOccurrences.insert(number);
        }
        const std::string text = encode(progress);
        CPPUNIT_ASSERT(text.size() < 200);
        const auto read = decodeProgress(text);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99'998}, read->completedOccurrences.size());
        CPPUNIT_ASSERT(!read->completedOccurrences.contains(50'007));
    }

    void largeProgressRoundTrips()
    {
        const job_progress progress = largeProgress();
        const auto read = decodeProgress(encode(progress));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(progress.tasks.size(), read->tasks.size());
        std::size_t done = 0;
        for (const task_progress &each : read->tasks) {
            done += each.done ? 1 : 0;
            CPPUNIT_ASSERT(each.done || each.index == openTask);
            CPPUNIT_ASSERT(each.done || each.checkpoint == "point");
            CPPUNIT_ASSERT(each.done || each.lastEndedRun == 7);
        }
        CPPUNIT_ASSERT_EQUAL(progress.tasks.size() - 6 * 5, done);
    }

    void rejectsUnboundedRangesOfDoneTasks()
    {
        CPPUNIT_ASSERT(!decodeProgress(R"({"state":"running","done_tasks":[[0,0,0,4294967295]]})"));
        CPPUNIT_ASSERT(!decodeProgress(R"({"state":"running","done_tasks":[[0,0,5,4]]})"));
        std::string many{R"({"state":"running","done_tasks":[)"};
        for (int index = 0; index < 600; ++index)
            many += "[0,0,0,1999],";
        CPPUNIT_ASSERT(!decodeProgress(many + "[0,0,0,0]]}"));
    }

    void rejectsDamagedValues()
    {
        for (const char *const each : {"", "[]", "{", R"({"steps":1})", R"({"steps":[{}]})"})
            CPPUNIT_ASSERT(!decodeJob(each));
        CPPUNIT_ASSERT(!decodeProgress("[1]"));
        CPPUNIT_ASSERT(!decodeProgress(R"({"state":"running","tasks":[[1]]})"));
    }

    void taskIdRoundTrips()
    {
        const task_id task{"5c0e7a21d94b36f8", 2, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string{"5c0e7a21d94b36f8.2.1.17"}, toString(task));
        CPPUNIT_ASSERT(parseTaskId(toString(task)) == task);
    }

    void rejectsMalformedTaskIds()
    {
        for (const char *const each : {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.", "a.-1.2.3"})
            CPPUNIT_ASSERT(!parseTaskId(each));
    }

private:
    static constexpr std::uint32_t openTask{1000};

    /** Six occurrences of five steps of 2,000 tasks, of which one in each step is not done. */
    static job_progress largeProgress()
    {
        job_progress progress;
        progress.state = job_state::running;
        for (std::uint32_t occurrence = 0; occurrence < 6; ++occurrence) {
            for (std::uint32_t step = 0; step < 5; ++step) {
                for (std::uint32_t index = 0; index < 2000; ++index) {
                    const bool done = index != openTask;
                    progress.tasks.push_back(
                        {occurrence, step, index, done, {}, 7, done ? "" : "point"});
                }
            }
        }
        return progress;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace
