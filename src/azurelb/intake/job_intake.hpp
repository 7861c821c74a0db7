#pragma once

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

/** State of a job, if it could be read. */
struct state_result
{
    intake_outcome outcome{intake_outcome::refused};
    job_state state{job_state::pending};
};

/** Number of waiting jobs of a queue, if it could be read. */
struct waiting_result
{
    intake_outcome outcome{intake_outcome::refused};
    std::size_t waiting{0};
};

/**
 * Callers' operations on jobs, for any daemon: a job counts as accepted once its record is in the
 * store, from where the owner takes it. Every operation may be repeated at any daemon with the
 * same effect.
 */
class job_intake
{
public:
    job_intake(boost::asio::io_context &loop, keyspace &with);

    /** Stores a job. An identifier that is there already is the same job. */
    [[nodiscard]] boost::asio::awaitable<intake_outcome> submit(job_record job,
                                                                std::chrono::milliseconds deadline);

    [[nodiscard]] boost::asio::awaitable<intake_outcome> cancel(job_id id,
                                                                std::chrono::milliseconds deadline);

    [[nodiscard]] boost::asio::awaitable<state_result> state(job_id id,
                                                             std::chrono::milliseconds deadline);

    [[nodiscard]] boost::asio::awaitable<waiting_result>
    waiting(std::string queue, std::chrono::milliseconds deadline);

private:
    [[nodiscard]] boost::asio::awaitable<keyspace_commit> commit(const keyspace_write &write);
    /** Reads a key, and again while the store refuses or does not answer. */
    [[nodiscard]] boost::asio::awaitable<keyspace_range> get(std::string key,
                                                             std::chrono::milliseconds deadline);
    [[nodiscard]] boost::asio::awaitable<void> waitBeforeRetry();

    /** Reads a key until the store answers. */
    void probe();
    /** Whether the store is known not to take calls. */
    [[nodiscard]] bool isStoreUnavailable() const noexcept;

    boost::asio::io_context &m_loop;
    keyspace &m_keyspace;
    boost::asio::steady_timer m_probeTimer;
    bool m_probing{false};
    unsigned m_failedProbes{0};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
