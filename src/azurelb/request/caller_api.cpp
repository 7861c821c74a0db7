#include <azurelb/activity/activity_service.hpp>
#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/request/caller_api.hpp>
#include <azurelb/request/claim_registry.hpp>
#include <azurelb/request/claim_response.hpp>
#include <azurelb/request/request_check.hpp>
#include <azurelb/request/request_forwarder.hpp>
#include <azurelb/share/slot_service.hpp>
#include <azurelb/store/store.hpp>
#include <azurelb/upstream/connection_pool.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace azurelb {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** The upstream's response without hop-by-hop fields and without the attempt's request id. */
http_response responseForCaller(http_response response)
{
    constexpr http::field removed[]{http::field::connection, http::field::keep_alive,
                                    http::field::transfer_encoding, http::field::trailer,
                                    http::field::upgrade};
    for (const http::field each : removed)
        response.erase(each);
    response.erase("X-Request-Id");
    constexpr unsigned http11 = 11;
    response.version(http11);
    response.prepare_payload();
    return response;
}

} // namespace

caller_api::caller_api(asio::io_context &loop, const clock_source &clock,
                       const caller_options &options, const connection_options &connections)
    : m_loop{loop}
    , m_clock{clock}
    , m_options{options}
    , m_connectionOptions{connections}
    , m_periodicTimer{loop}
{ }

caller_api::~caller_api() = default;

void caller_api::start(kernel &services)
{
    auto &keyValueStore = services.find<store>(store::serviceName);
    auto &slots = services.find<slot_service>(slot_service::serviceName);
    auto &activity = services.find<activity_service>(activity_service::serviceName);
    auto &counters = services.find<metrics>(metrics::serviceName);
    m_documents = &services.find<document_source>(document_source::serviceName);
    m_connections = std::make_unique<connection_pool>(m_loop, m_clock, m_connectionOptions);
    const attempt_services used{m_loop,      m_clock, slots, *m_connections, activity.recorder(),
                                *m_documents};
    m_forwarder = std::make_unique<request_forwarder>(used, counters);
    m_claims = std::make_unique<claim_registry>(m_loop, m_clock, keyValueStore);
    m_server = std::make_unique<http_server>(
        m_loop, m_options.listen, m_options.limits,
        [this](const http_request &message) { return handle(message); });
    m_server->start();
    runPeriodicTasks();
}

void caller_api::stop() noexcept
{
    m_periodicTimer.cancel();
    if (m_server)
        m_server->close();
    if (m_connections)
        m_connections->close();
}

void caller_api::setReady(bool ready) noexcept
{
    m_ready = ready;
}

std::uint16_t caller_api::port() const
{
    return m_server->port();
}

void caller_api::announceClose() noexcept
{
    m_server->announceClose();
}

void caller_api::drain(std::chrono::milliseconds grace)
{
    m_server->drain(grace);
}

std::size_t caller_api::inFlight() const noexcept
{
    return m_server->inFlight() + m_claimedRuns;
}

asio::awaitable<http_response> caller_api::handle(const http_request &message)
{
    const auto target = message.target();
    if (target == "/healthz")
        co_return jsonResponse(http::status::ok, "{\"live\":true}");
    if (target == "/readyz")
        co_return readinessResponse();
    co_return co_await serve(message);
}

asio::awaitable<http_response> caller_api::serve(const http_request &message)
{
    const config_view_ptr config = m_documents->config();
    checked_request checked = checkRequest(message, *config, m_options, m_clock.now());
    if (checked.error)
        co_return problemResponse(*checked.error);
    if (checked.request.idempotencyKey.empty() || checked.request.idempotent) {
        request_result result = co_await m_forwarder->forward(checked.request);
        co_return result.answered ? responseForCaller(std::move(result.response))
                                  : std::move(result.response);
    }
    // Runs to completion even if the caller disconnects, so that a repeat gets the stored response.
    co_return co_await asio::co_spawn(m_loop, runUncancellable(std::move(checked.request)),
                                      asio::use_awaitable);
}

asio::awaitable<http_response> caller_api::runUncancellable(caller_request request)
{
    co_await asio::this_coro::reset_cancellation_state(asio::disable_cancellation());
    ++m_claimedRuns;
    http_response response = co_await claimAndRun(request);
    --m_claimedRuns;
    co_return response;
}

asio::awaitable<http_response> caller_api::claimAndRun(const caller_request &request)
{
    const claim_result claim = co_await m_claims->claim(request);
    if (claim.state != claim_state::claimed)
        co_return claimResponse(claim);
    co_return co_await forwardClaimed(request, claim);
}

asio::awaitable<http_response> caller_api::forwardClaimed(const caller_request &request,
                                                          const claim_result &claim)
{
    request_result result = co_await m_forwarder->forward(request);
    if (result.run == run_state::not_run)
        co_await m_claims->release(claim);
    if (!result.answered)
        co_return std::move(result.response);
    http_response response = responseForCaller(std::move(result.response));
    co_await m_claims->complete(claim, response);
    co_return response;
}

http_response caller_api::readinessResponse() const
{
    if (m_ready && m_documents->isConfirmed())
        return jsonResponse(http::status::ok, "{\"ready\":true}");
    return jsonResponse(http::status::service_unavailable, "{\"ready\":false}");
}

void caller_api::runPeriodicTasks()
{
    constexpr std::chrono::seconds interval{1};
    constexpr std::chrono::hours trimInterval{1};
    m_connections->closeExpired();
    const bool trimDue = m_clock.now() - m_lastTrim >= trimInterval;
    if (trimDue && m_lastTrim != time_point{})
        m_claims->deleteOldClaims();
    if (trimDue)
        m_lastTrim = m_clock.now();
    m_periodicTimer.expires_after(interval);
    m_periodicTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled)
            runPeriodicTasks();
    });
}

} // namespace azurelb
