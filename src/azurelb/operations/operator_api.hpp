#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/http/message.hpp>
#include <azurelb/membership/fwd.hpp>
#include <azurelb/metrics/fwd.hpp>
#include <azurelb/operations/operator_directory.hpp>
#include <azurelb/settings/settings.hpp>
#include <azurelb/upstream/fwd.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace azurelb {

namespace wire {
class change;
} // namespace wire

class caller_api;
class http_server;
class vm_list_source;

/**
 * HTTP API for operators, on its own address:
 * GET /v1/config, /v1/fleet, /v1/status, /v1/audit?most=N and POST /v1/changes with an operator's
 * token; GET /metrics, /healthz and /readyz without one.
 */
class operator_api final : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"operator_api"};

    operator_api(boost::asio::io_context &loop, const settings &options);
    ~operator_api() override;

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }
    void start(kernel &services) override;
    void stop() noexcept override;

    /** The port that the API listens on. */
    [[nodiscard]] std::uint16_t port() const;

    /**
     * Stops listening. Connections close after their current response, idle ones after the grace.
     */
    void drain(std::chrono::milliseconds grace);

private:
    using response_awaitable = boost::asio::awaitable<http_response>;
    using route_function = response_awaitable (operator_api::*)(const http_request &);

    struct route
    {
        boost::beast::http::verb method;
        std::string_view path;
        bool requiresOperator;
        route_function function;
    };

    static const route routes[];

    [[nodiscard]] response_awaitable handle(const http_request &request);
    [[nodiscard]] response_awaitable getConfig(const http_request &request);
    [[nodiscard]] response_awaitable getFleet(const http_request &request);
    [[nodiscard]] response_awaitable getStatus(const http_request &request);
    [[nodiscard]] response_awaitable getAudit(const http_request &request);
    [[nodiscard]] response_awaitable postChange(const http_request &request);
    [[nodiscard]] response_awaitable submit(const wire::change &change,
                                            const std::vector<std::string> &costs);
    [[nodiscard]] response_awaitable getMetrics(const http_request &request);
    [[nodiscard]] response_awaitable getHealth(const http_request &request);
    [[nodiscard]] response_awaitable getReadiness(const http_request &request);
    [[nodiscard]] std::string_view authenticatedOperator(const http_request &request) const;

    boost::asio::io_context &m_loop;
    const settings &m_settings;
    operator_directory m_operators;
    document_source *m_documents{nullptr};
    membership *m_members{nullptr};
    upstream_directory *m_upstreams{nullptr};
    vm_list_source *m_vmList{nullptr};
    metrics *m_metrics{nullptr};
    caller_api *m_callers{nullptr};
    std::unique_ptr<http_server> m_server;
};

} // namespace azurelb
