#include <azurelb/activity/activity_recorder.hpp>
#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/request/retry_policy.hpp>
#include <azurelb/request/running_attempt.hpp>
#include <azurelb/upstream/attempt_outcome.hpp>
#include <azurelb/upstream/connection_pool.hpp>
#include <azurelb/upstream/connection_requirement.hpp>
#include <azurelb/upstream/upstream_connection.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace azurelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view timeoutHeader{"Azurelb-Timeout-Ms"};
constexpr std::string_view requestIdHeader{"X-Request-Id"};

/** Returns the connection to the pool when the attempt ends, also by cancellation. */
class connection_guard
{
public:
    connection_guard(connection_pool &pool, upstream_connection_ptr connection) noexcept
        : m_pool{pool}
        , m_connection{std::move(connection)}
    { }
    connection_guard(const connection_guard &) = delete;
    connection_guard &operator=(const connection_guard &) = delete;
    ~connection_guard()
    {
        if (m_connection)
            m_pool.release(std::move(m_connection));
    }

    [[nodiscard]] upstream_connection *get() const noexcept { return m_connection.get(); }

private:
    connection_pool &m_pool;
    upstream_connection_ptr m_connection;
};

/** Until when to wait for the response; no later than the request's deadline. */
time_point responseDeadline(const attempt_services &services, const caller_request &request)
{
    if (!request.idempotent)
        return request.deadline;
    const time_point now = services.clock.now();
    const duration meanRun = services.activity.meanRun(request.queue);
    return std::min(request.deadline, now + attemptTimeout(meanRun, request.deadline - now));
}

bool isServerError(const http_response &response)
{
    return http::to_status_class(response.result()) == http::status_class::server_error;
}

} // namespace

running_attempt::running_attempt(const attempt_services &services, const caller_request &request,
                                 const slot_grant &grant, duration waitTime,
                                 time_point sendDeadline)
    : m_services{services}
    , m_message{request.message}
    , m_keyDigest{request.keyDigest}
    , m_deadline{request.deadline}
    , m_sendDeadline{sendDeadline}
    , m_idempotent{request.idempotent}
    , m_slot{std::in_place, services, request.queue, grant, waitTime}
    , m_endTimer{services.loop, responseDeadline(services, request)}
{ }

asio::awaitable<void> running_attempt::execute(std::string attemptId)
{
    const auto self = shared_from_this();
    exchange_result result = co_await sendRequest(attemptId);
    m_slot->setOutcome(outcomeOf(result));
    m_slot.reset();
    m_result = std::move(result);
    m_endTimer.cancel();
}

asio::awaitable<exchange_result> running_attempt::wait()
{
    boost::system::error_code error;
    if (!m_result)
        co_await m_endTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (m_result)
        co_return std::move(*m_result);
    if (error)
        throw boost::system::system_error{error};
    const auto state = m_sent ? attempt_state::unknown : attempt_state::withheld;
    co_return exchange_result{state, {}, "no response from the upstream in time"};
}

void running_attempt::abandon() noexcept
{
    m_abandoned = true;
    if (m_connection)
        m_connection->abandon();
}

asio::awaitable<exchange_result> running_attempt::sendRequest(const std::string &attemptId)
{
    const auto requirement =
        m_idempotent ? connection_requirement::any : connection_requirement::recently_verified;
    const connection_guard connection{
        m_services.connections,
        co_await m_services.connections.acquire(m_slot->upstream().address, requirement)};
    if (!connection.get())
        co_return exchange_result{attempt_state::not_sent, {}, "no connection to the upstream"};
    if (!maySend())
        co_return exchange_result{attempt_state::withheld, {}, "the request was not sent in time"};
    m_sent = true;
    m_connection = connection.get();
    addHeaders(attemptId);
    const time_point bound = std::max(m_deadline, m_services.clock.now() + maxRunTime);
    exchange_result result = co_await m_connection->exchange(m_message, bound);
    m_connection = nullptr;
    co_return result;
}

bool running_attempt::maySend() const
{
    const time_point now = m_services.clock.now();
    return !m_abandoned && now < m_deadline && now <= m_sendDeadline
        && m_services.documents.isConfirmed() && isKeyValid();
}

bool running_attempt::isKeyValid() const
{
    return m_keyDigest.empty() || m_services.documents.config()->hasKey(m_keyDigest);
}

attempt_outcome running_attempt::outcomeOf(const exchange_result &result) const
{
    switch (result.state) {
    case attempt_state::withheld:
        return attempt_outcome::cancelled;
    case attempt_state::refused:
        return attempt_outcome::refused;
    case attempt_state::answered:
        return isServerError(result.response) ? attempt_outcome::failed : attempt_outcome::answered;
    case attempt_state::unknown:
        // The upstream was asked to stop, so closing the connection is no failure of it.
        return m_abandoned && result.closedByUpstream ? attempt_outcome::cancelled
                                                      : attempt_outcome::failed;
    case attempt_state::not_sent:
        return attempt_outcome::failed;
    }
    return attempt_outcome::failed;
}

void running_attempt::addHeaders(const std::string &attemptId)
{
    const auto timeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_services.clock.now());
    // Each attempt has its own id, so that a response to another attempt is recognised.
    m_message.set(requestIdHeader, attemptId);
    m_message.set(timeoutHeader, std::to_string(std::max<std::int64_t>(timeLeft.count(), 1)));
}

} // namespace azurelb
