#pragma once

#include "caller_client.hpp"
#include "running_fleet.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <limits>
#include <mutex>
#include <thread>
#include <vector>

namespace azurelb::test {

/** A request of the load and its result. */
struct load_record
{
    call request{};
    call_answer answer{};
    /** Index of the daemon that received the request. */
    std::size_t daemon{0};
    std::chrono::steady_clock::time_point sentAt{};
};

/**
 * Concurrent callers that send sequential requests, each over its own connection. A caller switches
 * to the next daemon if it cannot connect, if its connection is lost or if the daemon announces
 * that it will close it. Only requests that were never sent are retried.
 */
class caller_load
{
public:
    /** Returns the request for a sequence number. */
    using request_factory = std::function<call(std::size_t)>;
    using record_list = std::vector<load_record>;

    /** Starts the callers; they stop after maxRequests requests in total. */
    caller_load(const running_fleet &fleet, std::size_t callers, request_factory makeRequest,
                std::size_t maxRequests = std::numeric_limits<std::size_t>::max());
    caller_load(const caller_load &) = delete;
    caller_load &operator=(const caller_load &) = delete;
    ~caller_load();

    /** Number of requests answered with status 200. */
    [[nodiscard]] std::size_t served() const noexcept { return m_served; }

    /** Number of requests served by the daemon with this index. */
    [[nodiscard]] std::size_t served(std::size_t daemon) const { return m_servedBy.at(daemon); }

    /** Waits until "more" further requests are served; returns false on timeout. */
    [[nodiscard]] bool waitForServed(std::size_t more) const;

    /** The same for the requests served by one daemon. */
    [[nodiscard]] bool waitForServed(std::size_t more, std::size_t daemon) const;

    /** Stops the callers after their current request and returns all records. */
    record_list stop();

    /** Waits until maxRequests requests have ended and returns all records. */
    record_list finish();

private:
    void runCaller(std::size_t first);
    void addRecord(load_record record);

    const running_fleet &m_fleet;
    request_factory m_makeRequest;
    std::size_t m_maxRequests;
    std::atomic<bool> m_stopped{false};
    std::atomic<std::size_t> m_next{0};
    std::atomic<std::size_t> m_served{0};
    std::vector<std::atomic<std::size_t>> m_servedBy;
    std::mutex m_mutex{};
    record_list m_records{};
    std::vector<std::thread> m_callers{};
};

} // namespace azurelb::test
