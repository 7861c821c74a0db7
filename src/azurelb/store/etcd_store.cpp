#include <azurelb/core/clock_source.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/store/etcd_call.hpp>
#include <azurelb/store/etcd_codec.hpp>
#include <azurelb/store/etcd_store.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace azurelb {

namespace {

constexpr std::size_t maxConnections{4};
constexpr std::size_t maxWaitingCalls{1024};

http_request makeRequest(const std::string &body, const boost::asio::ip::tcp::endpoint &peer)
{
    namespace http = boost::beast::http;
    constexpr unsigned httpVersion = 11;
    http_request request{http::verb::post, "/v3/kv/txn", httpVersion};
    request.set(http::field::host, toString(peer));
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    return request;
}

} // namespace

etcd_store::etcd_store(boost::asio::io_context &loop, const clock_source &clock,
                       etcd_options options)
    : m_loop{loop}
    , m_clock{clock}
    , m_options{std::move(options)}
    , m_pool(maxConnections)
{ }

etcd_store::~etcd_store()
{
    stop();
}

void etcd_store::stop() noexcept
{
    for (const call_ptr &call : m_waitingCalls)
        call->timer.cancel();
    m_waitingCalls.clear();
    for (pooled_connection &connection : m_pool)
        connection = {};
}

void etcd_store::read(const wire::etcd::txn_request &ranges, std::chrono::milliseconds timeout,
                      store_handler done)
{
    enqueue(ranges, timeout, std::move(done));
}

void etcd_store::commit(const wire::etcd::txn_request &transaction,
                        std::chrono::milliseconds timeout, store_handler done)
{
    enqueue(transaction, timeout, std::move(done));
}

void etcd_store::enqueue(const wire::etcd::txn_request &transaction,
                         std::chrono::milliseconds timeout, store_handler done)
{
    if (m_waitingCalls.size() >= maxWaitingCalls) {
        postRefusal(std::move(done));
        return;
    }
    auto call = std::make_shared<internal::etcd_call>(
        internal::etcd_call{internal::encodeTransaction(transaction), m_clock.now() + timeout,
                            std::move(done), boost::asio::steady_timer{m_loop, timeout}});
    call->expectedSuccessResponses = transaction.success_size();
    call->expectedFailureResponses = transaction.failure_size();
    call->timer.async_wait(
        [this, alive = std::weak_ptr{m_alive}, call](boost::system::error_code error) {
            if (!error && !alive.expired())
                expireCall(call);
        });
    m_waitingCalls.push_back(std::move(call));
    sendWaitingCalls();
}

void etcd_store::sendWaitingCalls()
{
    pooled_connection *connection = findIdleConnection();
    while (connection && !m_waitingCalls.empty()) {
        call_ptr next = std::move(m_waitingCalls.front());
        m_waitingCalls.pop_front();
        next->timer.cancel();
        send(*connection, std::move(next));
        connection = findIdleConnection();
    }
}

void etcd_store::expireCall(const call_ptr &call)
{
    const auto found = std::find(m_waitingCalls.begin(), m_waitingCalls.end(), call);
    if (found == m_waitingCalls.end())
        return;
    m_waitingCalls.erase(found);
    call->done({store_error::refused, {}});
}

void etcd_store::send(pooled_connection &connection, call_ptr call)
{
    useCurrentEndpoint(connection);
    connection.busy = true;
    const auto left = remainingTime(*call);
    const auto untried = static_cast<std::chrono::milliseconds::rep>(m_options.endpoints.size()
                                                                     - call->unreachableEndpoints);
    const http_timeouts timeouts{left / untried, left};
    http_request request = makeRequest(call->body, connection.client->peer());
    connection.client->call(std::move(request), timeouts,
                            [this, &connection, call](http_outcome &&outcome) {
                                handleOutcome(connection, call, outcome);
                            });
}

void etcd_store::useCurrentEndpoint(pooled_connection &connection)
{
    if (connection.client && connection.endpoint == m_currentEndpoint)
        return;
    connection.endpoint = m_currentEndpoint;
    connection.client =
        std::make_unique<http_client>(m_loop, m_options.endpoints[m_currentEndpoint]);
}

void etcd_store::handleOutcome(pooled_connection &connection, const call_ptr &call,
                               const http_outcome &outcome)
{
    connection.busy = false;
    if (outcome.progress != http_progress::not_sent)
        ++m_sentCalls;
    if (outcome.progress != http_progress::answered && connection.endpoint == m_currentEndpoint)
        m_currentEndpoint = (m_currentEndpoint + 1) % m_options.endpoints.size();
    if (shouldTryNextEndpoint(*call, outcome)) {
        ++call->unreachableEndpoints;
        send(connection, call);
        return;
    }
    setReachable(outcome.progress == http_progress::answered);
    const std::weak_ptr alive{m_alive};
    call->done(internal::decodeReply(*call, outcome));
    if (!alive.expired())
        sendWaitingCalls();
}

bool etcd_store::shouldTryNextEndpoint(const internal::etcd_call &call,
                                       const http_outcome &outcome) const
{
    return outcome.progress == http_progress::not_sent
        && call.unreachableEndpoints + 1 < m_options.endpoints.size()
        && remainingTime(call).count() > 0;
}

void etcd_store::setReachable(bool answered)
{
    if (answered == m_reachable)
        return;
    m_reachable = answered;
    logEvent(answered ? event::store_reachable : event::store_unreachable,
             {{"endpoint", toString(m_options.endpoints[m_currentEndpoint])}});
}

std::chrono::milliseconds etcd_store::remainingTime(const internal::etcd_call &call) const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(call.deadline - m_clock.now());
    return std::max(left, std::chrono::milliseconds::zero());
}

etcd_store::pooled_connection *etcd_store::findIdleConnection() noexcept
{
    const auto found =
        std::find_if(m_pool.begin(), m_pool.end(),
                     [](const pooled_connection &connection) { return !connection.busy; });
    return found == m_pool.end() ? nullptr : &*found;
}

void etcd_store::postRefusal(store_handler done)
{
    boost::asio::post(m_loop, [done = std::move(done)] { done({store_error::refused, {}}); });
}

} // namespace azurelb
