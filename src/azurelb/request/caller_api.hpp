#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/metrics/fwd.hpp>
#include <azurelb/request/caller_options.hpp>
#include <azurelb/request/fwd.hpp>
#include <azurelb/upstream/connection_options.hpp>
#include <azurelb/upstream/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace azurelb {

class http_server;
struct request_result;
struct caller_request;
struct claim_result;

/**
 * HTTP interface for callers: any method on /v1/queues/{queue}, and /healthz and /readyz for the
 * load balancer.
 */
class caller_api final : public service
{
public:
    /** Name under which the kernel finds this service. */
    static constexpr std::string_view serviceName{"caller_api"};

    caller_api(boost::asio::io_context &loop, const clock_source &clock,
               const caller_options &options, const connection_options &connections);
    ~caller_api() override;

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }
    void start(kernel &services) override;
    void stop() noexcept override;

    /** Sets whether /readyz may report ready; it does so only while the documents are confirmed. */
    void setReady(bool ready) noexcept;

    [[nodiscard]] bool isReady() const noexcept { return m_ready; }

    /** The port that the server listens on. */
    [[nodiscard]] std::uint16_t port() const;

    /** From now on each response announces that its connection closes. */
    void announceClose() noexcept;

    /** Stops accepting connections; idle ones are closed after the grace period. */
    void drain(std::chrono::milliseconds grace);

    /**
     * Number of requests in flight, including those whose caller has disconnected but which still
     * run under a claimed idempotency key.
     */
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    [[nodiscard]] boost::asio::awaitable<http_response> handle(const http_request &message);
    [[nodiscard]] boost::asio::awaitable<http_response> serve(const http_request &message);
    [[nodiscard]] boost::asio::awaitable<http_response> runUncancellable(caller_request request);
    [[nodiscard]] boost::asio::awaitable<http_response> claimAndRun(const caller_request &request);
    [[nodiscard]] boost::asio::awaitable<http_response>
    forwardClaimed(const caller_request &request, const claim_result &claim);
    [[nodiscard]] http_response readinessResponse() const;
    void runPeriodicTasks();

    boost::asio::io_context &m_loop;
    const clock_source &m_clock;
    caller_options m_options;
    connection_options m_connectionOptions;
    document_source *m_documents{nullptr};
    std::unique_ptr<connection_pool> m_connections;
    std::unique_ptr<request_forwarder> m_forwarder;
    std::unique_ptr<claim_registry> m_claims;
    std::unique_ptr<http_server> m_server;
    boost::asio::steady_timer m_periodicTimer;
    time_point m_lastTrim{};
    std::size_t m_claimedRuns{0};
    bool m_ready{false};
};

} // namespace azurelb
