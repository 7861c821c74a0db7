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
    for (const call_ptr &call : m_waiting)
        call->timer.cancel();
    m_waiting.clear();
    for (connection &place : m_pool)
        place = {};
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
    if (m_waiting.size() >= maxWaitingCalls) {
        refuseLater(std::move(done));
        return;
    }
    auto call = std::make_shared<internal::etcd_call>(
        internal::etcd_call{internal::encodeTransaction(transaction), m_clock.now() + timeout,
                            std::move(done), boost::asio::steady_timer{m_loop, timeout}});
    call->successResponses = transaction.success_size();
    call->failureResponses = transaction.failure_size();
    call->timer.async_wait(
        [this, alive = std::weak_ptr{m_alive}, call](boost::system::error_code error) {
            if (!error && !alive.expired())
                expire(call);
        });
    m_waiting.push_back(std::move(call));
    startWaiting();
}

void etcd_store::startWaiting()
{
    connection *place = findIdle();
    while (place && !m_waiting.empty()) {
        call_ptr next = std::move(m_waiting.front());
        m_waiting.pop_front();
        next->timer.cancel();
        send(*place, std::move(next));
        place = findIdle();
    }
}

void etcd_store::expire(const call_ptr &call)
{
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), call);
    if (found == m_waiting.end())
        return;
    m_waiting.erase(found);
    call->done({store_error::refused, {}});
}

void etcd_store::send(connection &place, call_ptr call)
{
    useEndpoint(place);
    place.busy = true;
    const auto left = timeLeft(*call);
    const auto untried =
        static_cast<std::chrono::milliseconds::rep>(m_options.endpoints.size() - call->unreachable);
    const http_timeouts timeouts{left / untried, left};
    http_request request = makeRequest(call->body, place.client->peer());
    place.client->call(std::move(request), timeouts, [this, &place, call](http_outcome &&outcome) {
        ended(place, call, outcome);
    });
}

void etcd_store::useEndpoint(connection &place)
{
    if (place.client && place.endpoint == m_endpoint)
        return;
    place.endpoint = m_endpoint;
    place.client = std::make_unique<http_client>(m_loop, m_options.endpoints[m_endpoint]);
}

void etcd_store::ended(connection &place, const call_ptr &call, const http_outcome &outcome)
{
    place.busy = false;
    if (outcome.progress != http_progress::not_sent)
        ++m_calls;
    if (outcome.progress != http_progress::answered && place.endpoint == m_endpoint)
        m_endpoint = (m_endpoint + 1) % m_options.endpoints.size();
    if (triesNextEndpoint(*call, outcome)) {
        ++call->unreachable;
        send(place, call);
        return;
    }
    note(outcome.progress == http_progress::answered);
    const std::weak_ptr alive{m_alive};
    call->done(internal::decodeReply(*call, outcome));
    if (!alive.expired())
        startWaiting();
}

bool etcd_store::triesNextEndpoint(const internal::etcd_call &call,
                                   const http_outcome &outcome) const
{
    return outcome.progress == http_progress::not_sent
        && call.unreachable + 1 < m_options.endpoints.size() && timeLeft(call).count() > 0;
}

void etcd_store::note(bool answered)
{
    if (answered == m_reachable)
        return;
    m_reachable = answered;
    logEvent(answered ? event::store_reachable : event::store_unreachable,
             {{"endpoint", toString(m_options.endpoints[m_endpoint])}});
}

std::chrono::milliseconds etcd_store::timeLeft(const internal::etcd_call &call) const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(call.deadline - m_clock.now());
    return std::max(left, std::chrono::milliseconds::zero());
}

etcd_store::connection *etcd_store::findIdle() noexcept
{
    const auto found = std::find_if(m_pool.begin(), m_pool.end(),
                                    [](const connection &place) { return !place.busy; });
    return found == m_pool.end() ? nullptr : &*found;
}

void etcd_store::refuseLater(store_handler done)
{
    boost::asio::post(m_loop, [done = std::move(done)] { done({store_error::refused, {}}); });
}

} // namespace azurelb
