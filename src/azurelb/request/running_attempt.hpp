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
 * One attempt at one upstream. It holds the slot, and with it the team's right, until the upstream
 * has answered or closed the connection, also if the request was given up before: the upstream may
 * go on running it, and only the upstream knows when that ends.
 */
class running_attempt : public std::enable_shared_from_this<running_attempt>
{
public:
    /** Longest time after the send for which the end at the upstream is awaited. */
    static constexpr std::chrono::seconds maxRunTime{60};

    /** The request's message is copied. It is sent until sendDeadline or not at all. */
    running_attempt(const attempt_services &services, const caller_request &request,
                    const slot_grant &grant, duration waitTime, time_point sendDeadline);
    running_attempt(const running_attempt &) = delete;
    running_attempt &operator=(const running_attempt &) = delete;

    /** Runs the attempt; to be spawned once, on its own. */
    [[nodiscard]] boost::asio::awaitable<void> execute(std::string attemptId);

    /**
     * The end of the attempt, or what is known at the deadline of the request, for an idempotent
     * one when patience ends. If it is cancelled it ends by operation_aborted.
     */
    [[nodiscard]] boost::asio::awaitable<exchange_result> wait();

    /** Tells the upstream by closing the sending side that nobody waits for the answer. */
    void abandon() noexcept;

private:
    [[nodiscard]] boost::asio::awaitable<exchange_result> sendRequest(const std::string &attemptId);
    [[nodiscard]] bool maySend() const;
    /** False if the key was withdrawn while the request waited. */
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
    /** Set while the request is on its way or runs. */
    upstream_connection *m_connection{nullptr};
    bool m_sent{false};
    bool m_abandoned{false};
};

} // namespace azurelb
