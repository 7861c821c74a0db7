#pragma once

#include <azurelb/control/fwd.hpp>
#include <azurelb/control/stored_job.hpp>
#include <azurelb/jobs/fwd.hpp>
#include <azurelb/keyspace/key_revisions.hpp>
#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/keyspace_write.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azurelb {

/**
 * Stores the scheduler's durable state: the progress of a job before the ended runs that led to it
 * are acknowledged, and an executor before runs start on it. Every write is conditional on the
 * owner's key being at its token and on each key that it replaces or removes being at its last
 * known revision, so that neither an earlier owner nor a write that takes effect late can replace
 * or remove anything newer.
 */
class progress_writer
{
public:
    using lost_handler = std::function<void()>;
    using stored_handler = std::function<void()>;

    progress_writer(boost::asio::io_context &loop, keyspace &to, scheduler &from,
                    store_revision token, stored_handler onStored, lost_handler onLost);

    /** Schedules a write of all changed state after the grouping time. */
    void scheduleFlush();

    /** Notes the revision of an executor's record that was read from the store. */
    void noteRecord(const keyspace_item &item) { m_records.record(item); }

    /** Removes the record of an executor that has no more runs of this owner. */
    void removeExecutor(const executor_id &id);

    /** Removes all keys of a job that is no longer retained, at once: without its progress, the job
        would run again. */
    void removeJob(const stored_job &job);

    /** Whether no write is pending or running. */
    [[nodiscard]] bool isIdle() const noexcept { return !m_flushing && !m_flushScheduled; }

private:
    /** Indivisible part of a write. */
    struct write_unit
    {
        keyspace_write write{};
        /** Job whose progress is written, or whose keys are removed; otherwise empty. */
        job_id job{};
        /** Executor whose record is written or removed; otherwise empty. */
        executor_id executor{};

        [[nodiscard]] bool isRemoval() const noexcept { return write.operations().puts.empty(); }
    };

    void flush();
    void collect();
    void collectJobs();
    void collectExecutors();
    void collectEndedExecutors();
    void collectEndedJobs();
    void writeNext();
    void handleCommit(std::vector<write_unit> &&chunk, keyspace_commit &&outcome);
    void noteStored(const std::vector<write_unit> &chunk, const keyspace_commit &outcome);
    void requeue(const std::vector<write_unit> &chunk, const keyspace_commit &outcome);
    void requeueRemoval(const write_unit &unit, const keyspace_commit &outcome);
    void retryLater();
    void finishFlush();

    boost::asio::io_context &m_loop;
    keyspace &m_keyspace;
    scheduler &m_scheduler;
    store_revision m_token;
    stored_handler m_onStored;
    lost_handler m_onLost;
    boost::asio::steady_timer m_timer;
    std::vector<write_unit> m_units{};
    /** Jobs that are no longer retained. */
    std::vector<stored_job> m_endedJobs{};
    /** Executors whose records are no longer needed. */
    std::set<executor_id> m_endedExecutors{};
    /** Revisions of the executors' records. */
    key_revisions m_records{};
    /** Highest sequence number of ended runs that m_units covers, for one incarnation. */
    struct processed_ends
    {
        executor_id executor{};
        std::int64_t born{0};
        std::int64_t sequence{0};
    };
    std::vector<processed_ends> m_processedEnds{};
    bool m_flushScheduled{false};
    bool m_flushing{false};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
