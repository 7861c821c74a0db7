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

/** Takes one request through slots and upstreams until it is answered or must be given up. */
class request_forwarder
{
public:
    request_forwarder(const attempt_services &services, metrics &counters);
    request_forwarder(const request_forwarder &) = delete;
    request_forwarder &operator=(const request_forwarder &) = delete;

    /**
     * Runs the request. If it is cancelled while it waits for a slot, it waits no more; if it runs
     * already, the upstream is told, and the slot is free when the upstream has let go of it.
     */
    [[nodiscard]] boost::asio::awaitable<request_result> forward(const caller_request &request);

private:
    /** A grant, the wait for it, and the time until which its request may be sent. */
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
