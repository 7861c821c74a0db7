#include <support/fake_keyspace.hpp>

#include <azurelb/control/store_keys.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/intake/job_intake.hpp>
#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/jobs/job_record.hpp>

#include <boost/asio/co_spawn.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char job[]{"aaaaaaaaaaaaaaaa"};
constexpr milliseconds deadline{1000};

class job_intake_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_intake_test);
    CPPUNIT_TEST(storesTheJobRecord);
    CPPUNIT_TEST(repeatedSubmissionIsTheSameJob);
    CPPUNIT_TEST(refusedJobIsNotStored);
    CPPUNIT_TEST(submitsDespiteLostAnswers);
    CPPUNIT_TEST(unansweredSubmissionIsUnknown);
    CPPUNIT_TEST(cancelsOnlyExistingJobs);
    CPPUNIT_TEST(lateWriteBehindACancellationCreatesNoJob);
    CPPUNIT_TEST(submissionDoesNotOutliveItsCancellation);
    CPPUNIT_TEST(submissionAfterACancellationCreatesNoJob);
    CPPUNIT_TEST(rejectionDoesNotLiftACancellation);
    CPPUNIT_TEST(cancellationBetweenRejectionAndReturnCreatesNoJob);
    CPPUNIT_TEST(repeatedCancellationCreatesNoJob);
    CPPUNIT_TEST(identifierIsFreeAfterTheCancellationHasExpired);
    CPPUNIT_TEST(refusesAtOnceWhileTheStoreIsUnavailable);
    CPPUNIT_TEST(lostAnswersDoNotCountAsUnavailable);
    CPPUNIT_TEST(readsTheState);
    CPPUNIT_TEST(rejectionBlocksADelayedWriteOfAnEarlierSubmission);
    CPPUNIT_TEST(acceptedJobIsNotRejected);
    CPPUNIT_TEST(callerMayReturnAfterARejection);
    CPPUNIT_TEST(returningCallerIsRecognizedByTheFirstRejection);
    CPPUNIT_TEST(rejectionBlocksADelayedAcceptanceAfterAnEarlierRejection);
    CPPUNIT_TEST_SUITE_END();

public:
    void storesTheJobRecord()
    {
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
        CPPUNIT_ASSERT(m_store.find(store_keys::jobRecord(job)));
    }

    void repeatedSubmissionIsTheSameJob()
    {
        submit();
        const auto revision = m_store.find(store_keys::jobRecord(job))->revision;
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
        CPPUNIT_ASSERT_EQUAL(revision, m_store.find(store_keys::jobRecord(job))->revision);
    }

    void refusedJobIsNotStored()
    {
        m_store.refuseCalls = true;
        CPPUNIT_ASSERT(submit() == intake_outcome::refused);
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(job)));
    }

    void submitsDespiteLostAnswers()
    {
        m_store.lostCommitReplies = 2;
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
    }

    void unansweredSubmissionIsUnknown()
    {
        m_store.lostCommitReplies = 1000;
        CPPUNIT_ASSERT(submit() == intake_outcome::unknown);
    }

    void cancelsOnlyExistingJobs()
    {
        CPPUNIT_ASSERT(cancel() == intake_outcome::missing);
        expireCancellation();
        submit();
        CPPUNIT_ASSERT(cancel() == intake_outcome::done);
        CPPUNIT_ASSERT(cancel() == intake_outcome::done);
        CPPUNIT_ASSERT(m_store.find(store_keys::jobCancel(job)));
    }

    /** The submission gets no answer, the caller cancels it and is told that there is no such job;
       the store carries out the write later. The job was started seconds after that answer. */
    void lateWriteBehindACancellationCreatesNoJob()
    {
        m_store.lateCommits = 1000;
        CPPUNIT_ASSERT(submit() == intake_outcome::unknown);
        m_store.lateCommits = 0;
        CPPUNIT_ASSERT(cancel() == intake_outcome::missing);
        m_store.executeLateCommits();
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(job)));
    }

    /** The submission is still being retried when another daemon answers the cancellation. */
    void submissionDoesNotOutliveItsCancellation()
    {
        m_store.lateCommits = 1;
        job_intake other{m_loop, m_store};
        std::optional<submit_result> submitted;
        std::optional<intake_outcome> cancelled;
        spawn(m_intake.submit(makeRecord(), deadline, resubmission::ask), submitted);
        m_loop.restart();
        m_loop.run_for(milliseconds{20});
        spawn(other.cancel(job, deadline), cancelled);
        m_loop.run_for(milliseconds{500});
        m_store.executeLateCommits();
        CPPUNIT_ASSERT(cancelled == intake_outcome::missing);
        CPPUNIT_ASSERT(submitted && submitted->outcome == intake_outcome::cancelled_before);
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(job)));
    }

    /** Guards against a job that is accepted after its cancellation was answered: the submission
        waited at a daemon that was frozen, or is repeated at a third one (review case 15). */
    void submissionAfterACancellationCreatesNoJob()
    {
        job_intake other{m_loop, m_store};
        CPPUNIT_ASSERT(await(other.cancel(job, deadline)) == intake_outcome::missing);
        assertCancelled();
    }

    /** Guards against a rejection whose entry replaces that of the cancellation, so that the next
        submission is accepted. */
    void rejectionDoesNotLiftACancellation()
    {
        CPPUNIT_ASSERT(cancel() == intake_outcome::missing);
        job_intake other{m_loop, m_store};
        CPPUNIT_ASSERT(await(other.reject(job, milliseconds{5000}, deadline))
                       == intake_outcome::done);
        assertCancelled();
    }

    /** The returning caller is admitted, and the job is cancelled before that is stored. */
    void cancellationBetweenRejectionAndReturnCreatesNoJob()
    {
        CPPUNIT_ASSERT(await(m_intake.reject(job, milliseconds{5000}, deadline))
                       == intake_outcome::done);
        CPPUNIT_ASSERT(await(m_intake.submit(makeRecord(), deadline, resubmission::ask)).outcome
                       == intake_outcome::rejected_before);
        job_intake other{m_loop, m_store};
        CPPUNIT_ASSERT(await(other.cancel(job, deadline)) == intake_outcome::missing);
        assertCancelled();
    }

    void repeatedCancellationCreatesNoJob()
    {
        CPPUNIT_ASSERT(cancel() == intake_outcome::missing);
        job_intake other{m_loop, m_store};
        CPPUNIT_ASSERT(await(other.cancel(job, deadline)) == intake_outcome::missing);
        assertCancelled();
    }

    void identifierIsFreeAfterTheCancellationHasExpired()
    {
        CPPUNIT_ASSERT(cancel() == intake_outcome::missing);
        expireCancellation();
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
    }

    /** Guards against operations that each wait 600 ms before they are refused during an outage:
        incident inc-7e8c of cantoria-grown, 800 refusals. */
    void refusesAtOnceWhileTheStoreIsUnavailable()
    {
        m_store.refuseCalls = true;
        CPPUNIT_ASSERT(submit() == intake_outcome::refused);
        const unsigned asked = m_store.commits;
        const boot_time begun = boot_clock::now();
        CPPUNIT_ASSERT(submit() == intake_outcome::refused);
        CPPUNIT_ASSERT(state().outcome == intake_outcome::refused);
        CPPUNIT_ASSERT(boot_clock::now() - begun < milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(asked, m_store.commits);
        m_store.refuseCalls = false;
        m_loop.restart();
        m_loop.run_for(milliseconds{200});
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
    }

    void lostAnswersDoNotCountAsUnavailable()
    {
        m_store.lostCommitReplies = 3;
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
        const unsigned asked = m_store.commits;
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
        CPPUNIT_ASSERT_EQUAL(asked + 1, m_store.commits);
    }

    void readsTheState()
    {
        CPPUNIT_ASSERT(state().outcome == intake_outcome::missing);
        submit();
        CPPUNIT_ASSERT(state().outcome == intake_outcome::done);
        CPPUNIT_ASSERT(state().state == job_state::pending);
        m_store.put(store_keys::jobProgress(job),
                    encode(job_progress{job_state::completed, {}, {}}));
        CPPUNIT_ASSERT(state().state == job_state::completed);
        m_store.refuseCalls = true;
        CPPUNIT_ASSERT(state().outcome == intake_outcome::refused);
    }

    /** Guards against a job that runs although its caller was told that it does not: the write of
       an earlier submission, which got no answer, takes effect after the rejection. */
    void rejectionBlocksADelayedWriteOfAnEarlierSubmission()
    {
        CPPUNIT_ASSERT(await(m_intake.reject(job, milliseconds{5000}, deadline))
                       == intake_outcome::done);
        const std::string record = store_keys::jobRecord(job);
        const keyspace_operations delayed{
            {{record, 0}, {store_keys::jobRejection(job), 0}}, {{record, "{}", 0}}, {}};
        m_store.execute(delayed, [](keyspace_commit &&outcome) {
            CPPUNIT_ASSERT(outcome.error == keyspace_error::conflict);
        });
        m_loop.restart();
        m_loop.run_for(milliseconds{20});
        CPPUNIT_ASSERT(!m_store.find(record));
    }

    void acceptedJobIsNotRejected()
    {
        submit();
        CPPUNIT_ASSERT(await(m_intake.reject(job, milliseconds{5000}, deadline))
                       == intake_outcome::missing);
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRejection(job)));
    }

    /** Guards against returning callers that count as new: they are then served before others that
        can still be in time, and completed too late. */
    void returningCallerIsRecognizedByTheFirstRejection()
    {
        await(m_intake.reject(job, milliseconds{5000}, deadline));
        await(m_intake.reject(job, milliseconds{9000}, deadline));
        job_record record;
        record.id = job;
        const submit_result result = await(m_intake.submit(record, deadline, resubmission::ask));
        CPPUNIT_ASSERT(result.outcome == intake_outcome::rejected_before);
        CPPUNIT_ASSERT_EQUAL(milliseconds{5000}.count(), result.firstSubmittedAt.count());
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(job)));
    }

    void rejectionBlocksADelayedAcceptanceAfterAnEarlierRejection()
    {
        await(m_intake.reject(job, milliseconds{5000}, deadline));
        const std::string record = store_keys::jobRecord(job);
        const std::string rejection = store_keys::jobRejection(job);
        const keyspace_operations delayed{
            {{record, 0}, {rejection, m_store.find(rejection)->revision}},
            {{record, "{}", 0}},
            {rejection}};
        CPPUNIT_ASSERT(await(m_intake.reject(job, milliseconds{9000}, deadline))
                       == intake_outcome::done);
        m_store.execute(delayed, [](keyspace_commit &&outcome) {
            CPPUNIT_ASSERT(outcome.error == keyspace_error::conflict);
        });
        m_loop.restart();
        m_loop.run_for(milliseconds{20});
        CPPUNIT_ASSERT(!m_store.find(record));
    }

    void callerMayReturnAfterARejection()
    {
        await(m_intake.reject(job, milliseconds{5000}, deadline));
        CPPUNIT_ASSERT(submit() == intake_outcome::done);
        CPPUNIT_ASSERT(m_store.find(store_keys::jobRecord(job)));
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRejection(job)));
    }

private:
    template <typename Result>
    void spawn(boost::asio::awaitable<Result> operation, std::optional<Result> &result)
    {
        boost::asio::co_spawn(m_loop, std::move(operation),
                              [&result](std::exception_ptr, Result ended) { result = ended; });
    }

    template <typename Result>
    Result await(boost::asio::awaitable<Result> operation)
    {
        std::optional<Result> result;
        spawn(std::move(operation), result);
        m_loop.restart();
        while (!result && m_loop.run_one_for(2 * deadline) > 0) {
        }
        CPPUNIT_ASSERT(result.has_value());
        return *result;
    }

    intake_outcome submit()
    {
        return await(m_intake.submit(makeRecord(), deadline, resubmission::accept)).outcome;
    }

    /** No submission is accepted, of a new or of a returning caller. */
    void assertCancelled()
    {
        for (const resubmission mode : {resubmission::ask, resubmission::accept}) {
            const submit_result result = await(m_intake.submit(makeRecord(), deadline, mode));
            CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(job)));
            CPPUNIT_ASSERT(result.outcome == intake_outcome::cancelled_before);
        }
    }

    void expireCancellation()
    {
        const store_lease_id lease = m_store.leaseOf(store_keys::jobRejection(job));
        CPPUNIT_ASSERT(lease != 0);
        m_store.endLease(lease);
    }

    [[nodiscard]] static job_record makeRecord()
    {
        job_record record;
        record.id = job;
        return record;
    }

    intake_outcome cancel() { return await(m_intake.cancel(job, deadline)); }
    state_result state() { return await(m_intake.state(job, deadline)); }

    boost::asio::io_context m_loop{};
    fake_keyspace m_store{m_loop};
    job_intake m_intake{m_loop, m_store};
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_intake_test);

} // namespace
