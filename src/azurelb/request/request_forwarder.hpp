#pragma once

#include <azurelb/activity/fwd.hpp>
#include <azurelb/config/fwd.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/metrics/fwd.hpp>
#include <azurelb/request/attempt_services.hpp>
#include <azurelb/request/caller_request.hpp>
#include <azurelb/request/fwd.hpp>
#include <azurelb/request/request_result.hpp>
#include <azurelb/request/retry_budget.hpp>
#include <azurelb/share/slot_grant.hpp>
#include <azurelb/share/slot_request.hpp>
#include <azurelb/upstream/exchange_result.hpp>
#include <azurelb/upstream/fwd.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <random>
#include <unordered_map>

namespace prometheus {
class Counter;
} // namespace prometheus

namespace azurelb {

/**
 * Forwards requests to upstreams: acquires a slot, sends the request, and retries on another
 * upstream as far as the retry policy and the queue's retry budget allow.
 */
class request_forwarder
{
public:
    request_forwarder(const attempt_services &services, metrics &counters);
    request_forwarder(const request_forwarder &) = delete;
    request_forwarder &operator=(const request_forwarder &) = delete;

    /**
     * Forwards the request and returns the final result. Cancellation while the request waits for a
     * slot ends the wait. Cancellation of a running attempt closes the sending side of the upstream
     * connection; the slot is released once the upstream has ended the request.
     */
    [[nodiscard]] boost::asio::awaitable<request_result> forward(const caller_request &request);

private:
    /** A grant, the time waited for it, and the latest time at which the request may be sent. */
    struct timed_grant
    {
        slot_grant grant{};
        duration waitTime{};
        time_point sendDeadline{};
    };

    [[nodiscard]] boost::asio::awaitable<timed_grant> awaitSlot(const slot_request &wanted);
    [[nodiscard]] boost::asio::awaitable<exchange_result> runAttempt(const caller_request &request,
                                                                     const timed_grant &granted);
    [[nodiscard]] bool mayRetry(const caller_request &request, const exchange_result &result,
                                unsigned attempts);
    [[nodiscard]] std::string nextAttemptId();
    void countAttempt(attempt_state state);

    attempt_services m_services;
    std::unordered_map<queue_name, retry_budget> m_budgets{};
    std::mt19937_64 m_random;
    prometheus::Counter *m_attemptsByState[5];
    prometheus::Counter &m_retriesRefused;
};

} // namespace azurelb
