#pragma once

#include <azurelb/request/attempt_services.hpp>
#include <azurelb/request/caller_request.hpp>
#include <azurelb/request/slot_use.hpp>
#include <azurelb/upstream/exchange_result.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace azurelb {

/**
 * One attempt to run a request on one upstream. It holds the slot, and with it the team's right,
 * until the upstream has responded or closed the connection, even if the request was abandoned
 * earlier: the upstream may still be running it, and only the upstream knows when that ends.
 */
class running_attempt : public std::enable_shared_from_this<running_attempt>
{
public:
    /**
     * Maximum time after sending for which the slot is held while the upstream has not responded. A
     * later deadline of the request extends it.
     */
    static constexpr std::chrono::seconds maxRunTime{60};

    /** Copies the request's message. It is sent by sendDeadline or not at all. */
    running_attempt(const attempt_services &services, const caller_request &request,
                    const slot_grant &grant, duration waitTime, time_point sendDeadline);
    running_attempt(const running_attempt &) = delete;
    running_attempt &operator=(const running_attempt &) = delete;

    /** Runs the attempt. Must be spawned exactly once, as a coroutine of its own. */
    [[nodiscard]] boost::asio::awaitable<void> execute(std::string attemptId);

    /**
     * Waits for the result of the attempt, at most until the request's deadline or, for an
     * idempotent request, until the attempt timeout; after that it returns what is known so far.
     * Throws boost::system::system_error with operation_aborted if cancelled.
     */
    [[nodiscard]] boost::asio::awaitable<exchange_result> wait();

    /**
     * Closes the sending side of the connection, which tells the upstream that the response is no
     * longer needed. A request that was not sent yet will not be sent.
     */
    void abandon() noexcept;

private:
    [[nodiscard]] boost::asio::awaitable<exchange_result> sendRequest(const std::string &attemptId);
    [[nodiscard]] bool maySend() const;
    /** False if the API key was withdrawn while the request was waiting. */
    [[nodiscard]] bool isKeyValid() const;
    [[nodiscard]] attempt_outcome outcomeOf(const exchange_result &result) const;
    void addHeaders(const std::string &attemptId);

    const attempt_services &m_services;
    http_request m_message;
    std::string m_keyDigest;
    time_point m_deadline;
    time_point m_sendDeadline;
    bool m_idempotent;
    std::optional<slot_use> m_slot;
    boost::asio::steady_timer m_endTimer;
    std::optional<exchange_result> m_result{};
    /** Set while the exchange with the upstream is in progress. */
    upstream_connection *m_connection{nullptr};
    bool m_sent{false};
    bool m_abandoned{false};
};

} // namespace azurelb
