#include <support/fake_keyspace.hpp>

#include <azurelb/control/executor_registration_codec.hpp>
#include <azurelb/control/leader_election.hpp>
#include <azurelb/control/progress_writer.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/scheduling/scheduler.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <utility>

namespace {

using namespace azurelb;
using namespace azurelb::test;
using std::chrono::milliseconds;

constexpr char job[]{"aaaaaaaaaaaaaaaa"};

class event_loop_test : public CppUnit::TestFixture
{
protected:
    void run(milliseconds time)
    {
        m_loop.restart();
        m_loop.run_for(time);
    }

    boost::asio::io_context m_loop{};
    fake_keyspace m_store{m_loop};
};

class leader_election_test : public event_loop_test
{
    CPPUNIT_TEST_SUITE(leader_election_test);
    CPPUNIT_TEST(oneOfTwoIsElected);
    CPPUNIT_TEST(otherCandidateIsElectedAfterResignation);
    CPPUNIT_TEST(otherCandidateIsElectedAfterLostLease);
    CPPUNIT_TEST(lostAnswerDoesNotLoseTheKey);
    CPPUNIT_TEST(restartedOwnerDoesNotWaitForItsFormerLease);
    CPPUNIT_TEST(claimOfAnotherVmIsLeftAlone);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneOfTwoIsElected()
    {
        start();
        CPPUNIT_ASSERT_EQUAL(1, m_elected);
        CPPUNIT_ASSERT(m_first->isElected() != m_second->isElected());
    }

    void otherCandidateIsElectedAfterResignation()
    {
        start();
        leader_election &leader = m_first->isElected() ? *m_first : *m_second;
        leader.resign([] {});
        run(milliseconds{150});
        CPPUNIT_ASSERT_EQUAL(1, m_lost);
        CPPUNIT_ASSERT_EQUAL(2, m_elected);
        CPPUNIT_ASSERT(!leader.isElected());
    }

    void otherCandidateIsElectedAfterLostLease()
    {
        start();
        m_store.endLease(1);
        m_store.endLease(2);
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(1, m_lost);
        CPPUNIT_ASSERT_EQUAL(2, m_elected);
    }

    void lostAnswerDoesNotLoseTheKey()
    {
        m_store.lostCommitReplies = 1;
        start();
        run(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(1, m_elected);
    }

    /** An owner that is killed and restarted must not leave the fleet without an owner until the
        lease of its former process expires. */
    void restartedOwnerDoesNotWaitForItsFormerLease()
    {
        m_store.put(std::string{store_keys::owner}, "first/1");
        start();
        CPPUNIT_ASSERT_EQUAL(1, m_elected);
    }

    void claimOfAnotherVmIsLeftAlone()
    {
        m_store.put(std::string{store_keys::owner}, "first-2/1");
        start();
        CPPUNIT_ASSERT_EQUAL(0, m_elected);
    }

private:
    void start()
    {
        const auto make = [this](const std::string &name, milliseconds delay) {
            return std::make_unique<leader_election>(
                m_loop, m_store, name, milliseconds{400}, delay,
                [this](store_revision) { ++m_elected; }, [this] { ++m_lost; });
        };
        m_first = make("first", milliseconds{10});
        m_second = make("second", milliseconds{20});
        m_first->start();
        m_second->start();
        run(milliseconds{150});
    }

    int m_elected{0};
    int m_lost{0};
    std::unique_ptr<leader_election> m_first{};
    std::unique_ptr<leader_election> m_second{};
};

class progress_writer_test : public event_loop_test
{
    CPPUNIT_TEST_SUITE(progress_writer_test);
    CPPUNIT_TEST(storesProgressBeforeEndsAreAcknowledged);
    CPPUNIT_TEST(retriesTheWriteAfterALostAnswer);
    CPPUNIT_TEST(storesNothingAfterTheKeyIsLost);
    CPPUNIT_TEST(splitsLargeWrites);
    CPPUNIT_TEST(storesExecutorsBeforeTheyAreUsed);
    CPPUNIT_TEST(recordsARestartBeforeTheExecutorRegisters);
    CPPUNIT_TEST(keepsTheRecordOfAnExecutorThatRegistersAgain);
    CPPUNIT_TEST(lateRemovalKeepsANewerRecordOfAnExecutor);
    CPPUNIT_TEST(lateRecordOfAnExecutorReplacesNoNewerOne);
    CPPUNIT_TEST(removesARecordOfAnEarlierOwner);
    CPPUNIT_TEST(conflictOfOneWriteKeepsTheRevisionsOfTheOthers);
    CPPUNIT_TEST(keysOfAnEndedJobAreRemovedInOneWrite);
    CPPUNIT_TEST(lateRemovalKeepsAJobThatUsesTheIdentifierAgain);
    CPPUNIT_TEST(lostAnswerToARemovalKeepsAJobThatUsesTheIdentifierAgain);
    CPPUNIT_TEST(jobThatIsCancelledDuringItsRemovalIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_token = m_store.put(std::string{store_keys::owner}, "me");
        m_writer = std::make_unique<progress_writer>(
            m_loop, m_store, m_scheduler, m_token, [this] { ++m_stored; }, [this] { ++m_lost; });
        executor_registration info;
        info.id = "e1";
        info.address = "127.0.0.1:1";
        info.capacity = {8000, 8000, 0};
        m_scheduler.registerExecutor(info, boot_clock::now());
    }

    void storesProgressBeforeEndsAreAcknowledged()
    {
        addJob(job);
        end(job);
        m_store.refuseCalls = true;
        flush();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, executor().lastStoredEnd);
        m_store.refuseCalls = false;
        run(milliseconds{250});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, executor().lastStoredEnd);
        CPPUNIT_ASSERT(stateOf(job) == job_state::completed);
    }

    void retriesTheWriteAfterALostAnswer()
    {
        addJob(job);
        end(job);
        m_store.lostCommitReplies = 2;
        flush();
        run(milliseconds{400});
        CPPUNIT_ASSERT(stateOf(job) == job_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, executor().lastStoredEnd);
        CPPUNIT_ASSERT_EQUAL(0, m_lost);
    }

    void storesNothingAfterTheKeyIsLost()
    {
        m_store.put(std::string{store_keys::owner}, "another");
        addJob(job);
        end(job);
        flush();
        CPPUNIT_ASSERT_EQUAL(1, m_lost);
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobProgress(job)));
    }

    void splitsLargeWrites()
    {
        constexpr int count{40};
        for (int index = 0; index < count; ++index) {
            addJob("aaaaaaaaaaaaaa" + std::to_string(10 + index));
            end("aaaaaaaaaaaaaa" + std::to_string(10 + index));
        }
        flush();
        run(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{count}, executor().lastStoredEnd);
        CPPUNIT_ASSERT(m_store.commits >= 3);
    }

    void storesExecutorsBeforeTheyAreUsed()
    {
        CPPUNIT_ASSERT(!executor().ownershipRecorded);
        flush();
        CPPUNIT_ASSERT(executor().ownershipRecorded);
        const keyspace_item *const entry = m_store.find(store_keys::executor("e1"));
        CPPUNIT_ASSERT(entry);
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:1"}, decodeRegistration(entry->value)->address);
    }

    /** The executor may be cut off before it registers: the next owner would count on leases of the
        usual term and start its tasks again too early. */
    void recordsARestartBeforeTheExecutorRegisters()
    {
        executor().info.startedUnixMs = 1;
        flush();
        CPPUNIT_ASSERT(!recordedExecutor().hasRestarted);
        executor_report report;
        report.startedUnixMs = 2;
        m_scheduler.applyReport("e1", report, boot_clock::now(), boot_clock::now());
        flush();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, recordedExecutor().startedUnixMs);
        CPPUNIT_ASSERT(recordedExecutor().hasRestarted);
    }

    /** The next owner asks only recorded executors which runs they have. */
    void keepsTheRecordOfAnExecutorThatRegistersAgain()
    {
        flush();
        executor_registration info = executor().info;
        m_scheduler.endExecutor("e1", boot_clock::now());
        m_writer->removeExecutor("e1");
        info.startedUnixMs = 2;
        m_scheduler.registerExecutor(info, boot_clock::now());
        flush();
        CPPUNIT_ASSERT(executor().ownershipRecorded);
        CPPUNIT_ASSERT(m_store.find(store_keys::executor("e1")));
    }

    /** Guards against tasks that run twice after a takeover (review case 8): a removal without an
        answer is executed after the executor has registered and been recorded again, and the next
        owner does not ask it for its runs. */
    void lateRemovalKeepsANewerRecordOfAnExecutor()
    {
        flush();
        executor_registration info = executor().info;
        m_scheduler.endExecutor("e1", boot_clock::now());
        m_store.lateCommits = 1;
        m_writer->removeExecutor("e1");
        run(milliseconds{250});
        CPPUNIT_ASSERT(!m_store.find(store_keys::executor("e1")));
        m_scheduler.registerExecutor(info, boot_clock::now());
        flush();
        CPPUNIT_ASSERT(executor().ownershipRecorded);
        m_store.executeLateCommits();
        CPPUNIT_ASSERT(m_store.find(store_keys::executor("e1")));
    }

    /** The next owner would ask the former address, or take the present incarnation for ended. */
    void lateRecordOfAnExecutorReplacesNoNewerOne()
    {
        m_store.lateCommits = 1;
        flush();
        executor_registration info = executor().info;
        info.address = "127.0.0.1:2";
        info.vm = "moved";
        m_scheduler.registerExecutor(info, boot_clock::now());
        run(milliseconds{250});
        CPPUNIT_ASSERT(executor().ownershipRecorded);
        m_store.executeLateCommits();
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:2"}, recordedExecutor().address);
    }

    /** Otherwise each later owner waits for runs of an executor that has ended. */
    void removesARecordOfAnEarlierOwner()
    {
        executor_registration info = executor().info;
        info.id = "e2";
        const std::string key = store_keys::executor(info.id);
        m_store.put(key, encodeRegistration(info));
        m_writer->noteRecord(*m_store.find(key));
        m_writer->removeExecutor(info.id);
        run(milliseconds{30});
        CPPUNIT_ASSERT(!m_store.find(key));
        // A record whose revision is not known is removed after a conflict.
        m_store.put(key, encodeRegistration(info));
        m_writer->removeExecutor(info.id);
        run(milliseconds{250});
        CPPUNIT_ASSERT(!m_store.find(key));
    }

    /** A conflict tells nothing about keys that were not in the conditions of the write; taken for
        missing ones they would conflict in turn, so that nothing is ever stored. */
    void conflictOfOneWriteKeepsTheRevisionsOfTheOthers()
    {
        constexpr int count{40};
        executor_registration info = executor().info;
        for (int index = 0; index < count; ++index) {
            info.id = "m" + std::to_string(index);
            m_scheduler.registerExecutor(info, boot_clock::now());
        }
        flush();
        run(milliseconds{100});
        for (int index = 0; index < count; ++index) {
            const std::string key = store_keys::executor("m" + std::to_string(index));
            m_store.put(key, m_store.find(key)->value);
            m_scheduler.executors().find("m" + std::to_string(index))->ownershipRecorded = false;
        }
        // Three writes conflict once each, 100 ms apart.
        flush();
        run(milliseconds{700});
        for (int index = 0; index < count; ++index)
            CPPUNIT_ASSERT(
                m_scheduler.executors().find("m" + std::to_string(index))->ownershipRecorded);
    }

    /** Guards against jobs that run again after a takeover (review case 6): the owner is killed
        between two writes, of which the first has removed the progress of an ended job. */
    void keysOfAnEndedJobAreRemovedInOneWrite()
    {
        constexpr int count{40};
        const auto nameOf = [](int index) {
            return "aaaaaaaaaaaaaa" + std::to_string(10 + index);
        };
        for (int index = 0; index < count; ++index) {
            m_store.put(store_keys::jobRecord(nameOf(index)), "{}");
            m_store.put(store_keys::jobProgress(nameOf(index)), "{}");
        }
        m_store.onCommit = [&] {
            for (int index = 0; index < count; ++index)
                CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(nameOf(index)))
                               == !m_store.find(store_keys::jobProgress(nameOf(index))));
        };
        for (int index = 0; index < count; ++index)
            m_writer->removeJob(storedJob(nameOf(index)));
        run(milliseconds{100});
        for (int index = 0; index < count; ++index)
            CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(nameOf(index))));
    }

    /** The removal of an ended job without an answer would delete a new one, which was accepted. */
    void lateRemovalKeepsAJobThatUsesTheIdentifierAgain()
    {
        flush();
        m_store.put(store_keys::jobRecord(job), "{}");
        m_store.put(store_keys::jobProgress(job), "{}");
        m_store.lateCommits = 1;
        m_writer->removeJob(storedJob(job));
        run(milliseconds{250});
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(job)));
        m_store.put(store_keys::jobRecord(job), "{}");
        m_store.executeLateCommits();
        CPPUNIT_ASSERT(m_store.find(store_keys::jobRecord(job)));
    }

    /** The removal was executed; repeating it would delete the new job. */
    void lostAnswerToARemovalKeepsAJobThatUsesTheIdentifierAgain()
    {
        flush();
        m_store.put(store_keys::jobRecord(job), "{}");
        m_store.put(store_keys::jobProgress(job), "{}");
        m_store.lostCommitReplies = 1;
        m_store.onCommit = [this, isFirst = true]() mutable {
            if (std::exchange(isFirst, false))
                m_store.put(store_keys::jobRecord(job), "{}");
        };
        m_writer->removeJob(storedJob(job));
        run(milliseconds{400});
        CPPUNIT_ASSERT(m_store.find(store_keys::jobRecord(job)));
        CPPUNIT_ASSERT(m_writer->isIdle());
    }

    void jobThatIsCancelledDuringItsRemovalIsRemoved()
    {
        flush();
        m_store.put(store_keys::jobRecord(job), "{}");
        const stored_job ended = storedJob(job);
        m_store.put(store_keys::jobCancel(job), "{}");
        m_writer->removeJob(ended);
        run(milliseconds{250});
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobRecord(job)));
        CPPUNIT_ASSERT(!m_store.find(store_keys::jobCancel(job)));
    }

private:
    void addJob(const std::string &id)
    {
        job_record record;
        record.id = id;
        record.steps.resize(1);
        record.steps.front().taskCount = 1;
        m_scheduler.addJob(record, {}, 0, false, boot_clock::now());
    }

    void end(const std::string &id)
    {
        executor_report report;
        report.ended.push_back({++m_sequence, {id, 0, 0, 0}, 1, run_end::done, {}});
        m_scheduler.applyReport("e1", report, boot_clock::now(), boot_clock::now());
    }

    [[nodiscard]] stored_job storedJob(const std::string &id) const
    {
        const auto revisionOf = [this](const std::string &key) {
            const keyspace_item *const item = m_store.find(key);
            return item ? item->revision : store_revision{0};
        };
        return {id, revisionOf(store_keys::jobRecord(id)), revisionOf(store_keys::jobCancel(id)),
                revisionOf(store_keys::jobProgress(id))};
    }

    void flush()
    {
        m_writer->scheduleFlush();
        run(milliseconds{60});
    }

    [[nodiscard]] executor_entry &executor() { return *m_scheduler.executors().find("e1"); }

    [[nodiscard]] executor_registration recordedExecutor() const
    {
        return decodeRegistration(m_store.find(store_keys::executor("e1"))->value).value();
    }

    [[nodiscard]] job_state stateOf(const std::string &id) const
    {
        const keyspace_item *const item = m_store.find(store_keys::jobProgress(id));
        return item ? decodeProgress(item->value)->state : job_state::pending;
    }

    scheduler m_scheduler{{}, 0};
    store_revision m_token{0};
    std::int64_t m_sequence{0};
    int m_stored{0};
    int m_lost{0};
    std::unique_ptr<progress_writer> m_writer{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_election_test);
CPPUNIT_TEST_SUITE_REGISTRATION(progress_writer_test);

} // namespace
