#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/intake/fwd.hpp>
#include <azurelb/intake/intake_outcome.hpp>
#include <azurelb/jobs/job_state.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/keyspace_write.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace azurelb {

/** State of a job; valid if the outcome is done. */
struct state_result
{
    intake_outcome outcome{intake_outcome::refused};
    job_state state{job_state::pending};
};

/** Outcome of a submission. */
struct submit_result
{
    intake_outcome outcome{intake_outcome::refused};
    /** Unix time of the first submission, if the outcome is rejected_before. */
    std::chrono::milliseconds firstSubmittedAt{0};
};

/** Entry that makes earlier submissions of a job fail. */
struct submission_barrier
{
    /** Unix time of the first submission. */
    std::chrono::milliseconds firstSubmittedAt{0};
    /** The caller has cancelled the job; otherwise it was rejected. */
    bool cancelled{false};
};

/** What to do with a submitted job that was rejected before. */
enum class resubmission { ask, accept };

/** Number of waiting jobs in a queue; valid if the outcome is done. */
struct waiting_result
{
    intake_outcome outcome{intake_outcome::refused};
    std::size_t waiting{0};
};

/**
 * Operations on jobs for callers; works on every daemon. A job is accepted once its record is in
 * the store, from where the owner loads it. All operations are idempotent, across daemons too.
 */
class job_intake
{
public:
    job_intake(boost::asio::io_context &loop, keyspace &with);

    /**
     * Stores a job. A job whose identifier is already stored counts as the same job. If the job was
     * rejected before, it is stored only with resubmission::accept; otherwise the outcome is
     * rejected_before. If it was cancelled, the outcome is cancelled_before: nothing tells a
     * submission that was held up from one that the caller has sent since.
     */
    [[nodiscard]] boost::asio::awaitable<submit_result>
    submit(job_record job, std::chrono::milliseconds deadline, resubmission mode);

    /**
     * Stores that a job was rejected, so that an earlier submission of it, whose write may still be
     * on its way, takes no effect either. The outcome is done if the job has not run and will not
     * unless it is submitted again, and missing if it has been accepted already. firstSubmittedAt
     * is Unix time; the earliest of several rejections is kept.
     */
    [[nodiscard]] boost::asio::awaitable<intake_outcome>
    reject(job_id id, std::chrono::milliseconds firstSubmittedAt,
           std::chrono::milliseconds deadline);

    /** Stores a request to cancel a job. If there is no such job, its submissions are refused for
       at least a minute, wherever they may be held up. */
    [[nodiscard]] boost::asio::awaitable<intake_outcome> cancel(job_id id,
                                                                std::chrono::milliseconds deadline);

    /** Reads the state of a job; a job without stored progress is pending. */
    [[nodiscard]] boost::asio::awaitable<state_result> state(job_id id,
                                                             std::chrono::milliseconds deadline);

    /** Reads the number of waiting jobs that the owner last published for a queue. */
    [[nodiscard]] boost::asio::awaitable<waiting_result>
    waiting(std::string queue, std::chrono::milliseconds deadline);

private:
    [[nodiscard]] boost::asio::awaitable<keyspace_commit> commit(const keyspace_write &write);
    /** Reads a key; retries while the store refuses or does not answer. */
    [[nodiscard]] boost::asio::awaitable<keyspace_range> get(std::string key,
                                                             std::chrono::milliseconds deadline);
    [[nodiscard]] boost::asio::awaitable<void> waitBeforeRetry();
    /** Makes earlier submissions of the job fail; missing if the job exists. */
    [[nodiscard]] boost::asio::awaitable<intake_outcome>
    blockSubmissions(job_id id, submission_barrier with, std::chrono::milliseconds deadline);
    /** Returns the lease of rejections; 0 if the store does not grant one. */
    [[nodiscard]] boost::asio::awaitable<store_lease_id> rejectionLease();

    /** Reads a key at intervals until the store answers. */
    void probe();
    /** Whether recent probes show that the store does not answer reads. */
    [[nodiscard]] bool isStoreUnavailable() const noexcept;

    boost::asio::io_context &m_loop;
    keyspace &m_keyspace;
    boost::asio::steady_timer m_probeTimer;
    bool m_probing{false};
    unsigned m_failedProbes{0};
    store_lease_id m_rejectionLease{0};
    boot_time m_rejectionLeaseAt{};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
