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

/** A request of a load, and how it ended. */
struct load_record
{
    call request{};
    call_answer answer{};
    /** The daemon that the request was sent to. */
    std::size_t daemon{0};
    std::chrono::steady_clock::time_point sentAt{};
};

/**
 * Callers that send one request after the other, each on its own connection. A caller goes to the
 * next daemon when it cannot connect, when its connection is cut, and when a daemon has announced
 * that it closes the connection. Only a request whose connection could not be opened is sent again.
 */
class caller_load
{
public:
    /** Makes the request of that number. */
    using request_factory = std::function<call(std::size_t)>;
    using record_list = std::vector<load_record>;

    /** Starts the callers; they end by themselves after that many requests, if it is given. */
    caller_load(const running_fleet &fleet, std::size_t callers, request_factory makeRequest,
                std::size_t maxRequests = std::numeric_limits<std::size_t>::max());
    caller_load(const caller_load &) = delete;
    caller_load &operator=(const caller_load &) = delete;
    ~caller_load();

    /** Requests that have got a whole answer with status 200. */
    [[nodiscard]] std::size_t served() const noexcept { return m_served; }

    /** Requests served through the daemon of that index. */
    [[nodiscard]] std::size_t served(std::size_t daemon) const { return m_servedBy.at(daemon); }

    /** Waits until that many more requests have been served. */
    [[nodiscard]] bool waitForServed(std::size_t more) const;

    /** Waits until that many more requests have been served through that daemon. */
    [[nodiscard]] bool waitForServed(std::size_t more, std::size_t daemon) const;

    /** Lets every caller end its request, and returns all records. */
    record_list stop();

    /** Waits for the last request of a limited number, and returns all records. */
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
