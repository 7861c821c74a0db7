#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/core/await_callback.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/operations/fleet_status.hpp>
#include <azurelb/operations/operator_api.hpp>
#include <azurelb/operations/zone_check.hpp>
#include <azurelb/platform/vm_list_source.hpp>
#include <azurelb/request/caller_api.hpp>
#include <azurelb/upstream/upstream_directory.hpp>

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace azurelb {

namespace http = boost::beast::http;
namespace json = google::protobuf::util;

namespace {

constexpr std::string_view bearerPrefix{"Bearer "};

struct audit_result
{
    change_error error{change_error::none};
    wire::audit_list list{};
};

struct change_status
{
    change_error error;
    http::status status;
    std::string_view kind;
    run_state run;
};

constexpr change_status changeStatuses[]{
    {change_error::invalid, http::status::unprocessable_entity, "invalid", run_state::not_run},
    {change_error::conflict, http::status::conflict, "conflict", run_state::not_run},
    {change_error::budget, http::status::conflict, "budget", run_state::not_run},
    {change_error::unavailable, http::status::service_unavailable, "store-unavailable",
     run_state::not_run},
    {change_error::unknown, http::status::gateway_timeout, "unknown-outcome", run_state::unknown},
};

http_response errorResponse(change_error error, const std::string &detail)
{
    const auto matches = [error](const change_status &each) {
        return each.error == error;
    };
    const auto *const found =
        std::find_if(std::begin(changeStatuses), std::end(changeStatuses), matches);
    return problemResponse({found->status, found->run, found->kind, detail, {}});
}

http_response messageResponse(const google::protobuf::Message &message)
{
    json::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string body;
    (void)json::MessageToJsonString(message, &body, options);
    return jsonResponse(http::status::ok, std::move(body));
}

std::string_view requestPath(const http_request &request)
{
    const auto target = request.target();
    const std::string_view text{target.data(), target.size()};
    return text.substr(0, text.find('?'));
}

/** Number of audit records requested by ?most=N; a default if it is absent or invalid. */
std::size_t requestedAuditRecords(const http_request &request)
{
    constexpr std::size_t defaultRecords = 20;
    constexpr std::size_t maxRecords = 500;
    constexpr std::string_view parameter{"most="};
    const auto target = request.target();
    const std::string_view text{target.data(), target.size()};
    const auto found = text.find(parameter);
    if (found == std::string_view::npos)
        return defaultRecords;
    std::size_t count = 0;
    const char *first = text.data() + found + parameter.size();
    if (std::from_chars(first, text.data() + text.size(), count).ec != std::errc{})
        return defaultRecords;
    return std::clamp(count, std::size_t{1}, maxRecords);
}

} // namespace

const operator_api::route operator_api::routes[]{
    {http::verb::get, "/v1/config", true, &operator_api::getConfig},
    {http::verb::get, "/v1/fleet", true, &operator_api::getFleet},
    {http::verb::get, "/v1/status", true, &operator_api::getStatus},
    {http::verb::get, "/v1/audit", true, &operator_api::getAudit},
    {http::verb::post, "/v1/changes", true, &operator_api::postChange},
    {http::verb::get, "/metrics", false, &operator_api::getMetrics},
    {http::verb::get, "/healthz", false, &operator_api::getHealth},
    {http::verb::get, "/readyz", false, &operator_api::getReadiness},
};

operator_api::operator_api(boost::asio::io_context &loop, const settings &options)
    : m_loop{loop}
    , m_settings{options}
    , m_operators{options.operators}
{ }

operator_api::~operator_api() = default;

void operator_api::start(kernel &services)
{
    m_documents = &services.find<document_source>(document_source::serviceName);
    m_members = &services.find<membership>(membership::serviceName);
    m_upstreams = &services.find<upstream_directory>(upstream_directory::serviceName);
    m_vmList = &services.find<vm_list_source>(vm_list_source::serviceName);
    m_metrics = &services.find<metrics>(metrics::serviceName);
    m_callers = &services.find<caller_api>(caller_api::serviceName);
    m_server = std::make_unique<http_server>(
        m_loop, m_settings.operatorListen, http_limits{},
        [this](const http_request &request) { return handle(request); });
    m_server->start();
}

void operator_api::stop() noexcept
{
    if (m_server)
        m_server->close();
}

std::uint16_t operator_api::port() const
{
    return m_server->port();
}

void operator_api::drain(std::chrono::milliseconds grace)
{
    m_server->drain(grace);
}

operator_api::response_awaitable operator_api::handle(const http_request &request)
{
    const std::string_view path = requestPath(request);
    const auto samePath = [path](const route &each) {
        return each.path == path;
    };
    const auto *const found = std::find_if(std::begin(routes), std::end(routes), samePath);
    if (found == std::end(routes))
        co_return problemResponse({http::status::not_found,
                                   run_state::not_run,
                                   "unknown-path",
                                   "there is no resource at this path",
                                   {}});
    if (found->requiresOperator && authenticatedOperator(request).empty())
        co_return problemResponse({http::status::unauthorized,
                                   run_state::not_run,
                                   "unknown-token",
                                   "an operator's token is required as Authorization: Bearer TOKEN",
                                   {}});
    if (found->method != request.method())
        co_return problemResponse({http::status::method_not_allowed,
                                   run_state::not_run,
                                   "wrong-method",
                                   "this path does not support this method",
                                   {}});
    co_return co_await (this->*found->function)(request);
}

operator_api::response_awaitable operator_api::getConfig(const http_request &)
{
    const config_view_ptr config = m_documents->config();
    wire::config_document shown{config->document()};
    for (wire::team_key &key : *shown.mutable_keys())
        key.clear_digest();
    co_return messageResponse(shown);
}

operator_api::response_awaitable operator_api::getFleet(const http_request &)
{
    const fleet_view_ptr fleet = m_documents->fleet();
    co_return messageResponse(fleet->document());
}

operator_api::response_awaitable operator_api::getStatus(const http_request &)
{
    wire::status status;
    status.set_vm(m_settings.vm.value());
    status.set_zone(m_settings.zone.value());
    status.set_ready(m_callers->isReady());
    status.set_requests_in_flight(static_cast<std::uint32_t>(m_callers->inFlight()));
    addFleetStatus(status, *m_documents, *m_members, *m_upstreams);
    co_return messageResponse(status);
}

operator_api::response_awaitable operator_api::getAudit(const http_request &request)
{
    const std::size_t most = requestedAuditRecords(request);
    const auto answer = co_await awaitCallback<audit_result>(m_loop, [&](auto done) {
        m_documents->readAudit(most, [done](change_error error, const wire::audit_list &list) {
            done(audit_result{error, list});
        });
    });
    if (!answer)
        throw boost::system::system_error{boost::asio::error::operation_aborted};
    if (answer->error != change_error::none)
        co_return errorResponse(answer->error, "the audit trail cannot be read from the store");
    co_return messageResponse(answer->list);
}

operator_api::response_awaitable operator_api::postChange(const http_request &request)
{
    wire::change change;
    const auto parsed = json::JsonStringToMessage(request.body(), &change);
    if (!parsed.ok())
        co_return errorResponse(change_error::invalid,
                                "the body is not a valid change: " + std::string{parsed.message()});
    change.set_operator_name(std::string{authenticatedOperator(request)});
    const auto list = m_vmList->list();
    const zone_check check =
        checkZoneChange(change, *m_documents->config(), *m_documents->fleet(), list.get());
    if (check.error != change_error::none)
        co_return errorResponse(check.error, check.detail);
    co_return co_await submit(change, check.costs);
}

operator_api::response_awaitable operator_api::submit(const wire::change &change,
                                                      const std::vector<std::string> &costs)
{
    auto outcome = co_await awaitCallback<change_outcome>(
        m_loop, [&](change_handler done) { m_documents->submit(change, std::move(done)); });
    if (!outcome)
        throw boost::system::system_error{boost::asio::error::operation_aborted};
    if (outcome->error != change_error::none)
        co_return errorResponse(outcome->error, outcome->detail);
    for (const std::string &cost : costs)
        outcome->result.add_costs(cost);
    co_return messageResponse(outcome->result);
}

operator_api::response_awaitable operator_api::getMetrics(const http_request &)
{
    http_response response = jsonResponse(http::status::ok, m_metrics->text());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    co_return response;
}

operator_api::response_awaitable operator_api::getHealth(const http_request &)
{
    co_return jsonResponse(http::status::ok, "{\"live\":true}");
}

operator_api::response_awaitable operator_api::getReadiness(const http_request &)
{
    const bool ready = m_callers->isReady() && m_documents->isConfirmed();
    const auto status = ready ? http::status::ok : http::status::service_unavailable;
    co_return jsonResponse(status, ready ? "{\"ready\":true}" : "{\"ready\":false}");
}

std::string_view operator_api::authenticatedOperator(const http_request &request) const
{
    const auto value = request[http::field::authorization];
    const std::string_view text{value.data(), value.size()};
    return text.starts_with(bearerPrefix) ? m_operators.find(text.substr(bearerPrefix.size()))
                                          : std::string_view{};
}

} // namespace azurelb
