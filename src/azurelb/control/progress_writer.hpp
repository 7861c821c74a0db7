#pragma once

#include <azurelb/control/fwd.hpp>
#include <azurelb/jobs/fwd.hpp>
#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/keyspace_write.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Stores what the scheduler must not forget: progress of jobs before the ends that led to it are
 * acknowledged, and executors before runs start on them. Every write holds only while the owner's
 * key stands at its token and each progress at the revision last seen, so that neither an earlier
 * owner nor a write that takes effect late can overwrite newer progress.
 */
class progress_writer
{
public:
    using lost_handler = std::function<void()>;
    using stored_handler = std::function<void()>;

    progress_writer(boost::asio::io_context &loop, keyspace &to, scheduler &from,
                    store_revision token, stored_handler onStored, lost_handler onLost);

    /** Something may have to be stored: does so within the grouping time. */
    void scheduleFlush();

    /** No run of this owner is on the executor any more. */
    void removeExecutor(const executor_id &id);

    /** Keys of jobs that are no longer kept. */
    void remove(const std::vector<std::string> &keys);

    /** Nothing is to be stored or being stored. */
    [[nodiscard]] bool isIdle() const noexcept { return !m_flushing && !m_flushScheduled; }

private:
    /** Part of a write that must not be split. */
    struct write_unit
    {
        keyspace_write write{};
        job_id job{};
        executor_id enrolled{};
    };

    void flush();
    void collect();
    void collectJobs();
    void collectExecutors();
    void writeNext();
    void handleCommit(std::vector<write_unit> &&chunk, keyspace_commit &&outcome);
    void noteStored(const std::vector<write_unit> &chunk, store_revision revision);
    void requeue(const std::vector<write_unit> &chunk, const keyspace_commit &outcome);
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
    std::vector<std::string> m_removals{};
    /** Ends that are contained in the units, for each executor with its birth. */
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
