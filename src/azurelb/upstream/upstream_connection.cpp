#include <azurelb/core/clock_source.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/http/run_state.hpp>
#include <azurelb/http/socket_options.hpp>
#include <azurelb/upstream/exchange_result.hpp>
#include <azurelb/upstream/upstream_connection.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azurelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::string_view requestIdHeader{"X-Request-Id"};
constexpr std::string_view runHeader{"Azurelb-Run"};

bool isClosedByPeer(const boost::system::error_code &failure)
{
    return failure == http::error::end_of_stream || failure == http::error::partial_message
        || failure == asio::error::connection_reset || failure == asio::error::broken_pipe;
}

bool isRefusal(const http_response &response)
{
    const bool refusingStatus = response.result() == http::status::service_unavailable
        || response.result() == http::status::too_many_requests;
    return refusingStatus && response[runHeader] == toString(run_state::not_run);
}

} // namespace

upstream_connection::upstream_connection(asio::io_context &loop, const clock_source &clock,
                                         const connection_options &options, std::string address)
    : m_clock{clock}
    , m_options{options}
    , m_address{std::move(address)}
    , m_stream{loop}
{ }

asio::awaitable<bool> upstream_connection::connect()
{
    const auto endpoint = parseEndpoint(m_address);
    if (!endpoint)
        co_return false;
    boost::system::error_code failure;
    m_stream.expires_after(m_options.connectTimeout);
    co_await m_stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return false;
    setSocketOptions();
    m_lastVerifiedAt = m_clock.now();
    m_reusable = true;
    co_return true;
}

asio::awaitable<exchange_result> upstream_connection::exchange(const http_request &request,
                                                               time_point deadline)
{
    boost::system::error_code failure;
    m_reusable = false;
    m_stream.expires_at(deadline);
    co_await http::async_write(m_stream, request,
                               asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return exchange_result{
            attempt_state::unknown, {}, "sending to the upstream failed: " + failure.message()};
    co_return co_await readResponse(request);
}

asio::awaitable<exchange_result> upstream_connection::readResponse(const http_request &request)
{
    boost::system::error_code failure;
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_options.maxResponseBytes);
    parser.skip(request.method() == http::verb::head);
    co_await http::async_read(m_stream, m_buffer, parser,
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return exchange_result{attempt_state::unknown,
                                  {},
                                  "no complete response from the upstream: " + failure.message(),
                                  isClosedByPeer(failure)};
    m_reusable = parser.get().keep_alive();
    co_return classifyResponse(request, parser.release());
}

exchange_result upstream_connection::classifyResponse(const http_request &request,
                                                      http_response response)
{
    const auto echoed = response.find(requestIdHeader);
    const bool isOtherResponse =
        echoed != response.end() && echoed->value() != request[requestIdHeader];
    // Bytes after the response belong to no request on this connection.
    const bool hasExtraBytes = m_buffer.size() > 0;
    if (isOtherResponse || hasExtraBytes) {
        m_reusable = false;
        return {
            attempt_state::unknown, {}, "the response of the upstream belongs to another request"};
    }
    m_lastVerifiedAt = m_clock.now();
    const auto state = isRefusal(response) ? attempt_state::refused : attempt_state::answered;
    return {state, std::move(response), {}};
}

void upstream_connection::abandon() noexcept
{
    boost::system::error_code ignored;
    m_abandoned = true;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void upstream_connection::close() noexcept
{
    m_reusable = false;
    m_stream.close();
}

bool upstream_connection::isReusable()
{
    return m_reusable && !m_abandoned && m_stream.socket().is_open()
        && isIdleConnectionAlive(m_stream.socket());
}

void upstream_connection::setSocketOptions()
{
    const auto unacknowledgedTimeout = static_cast<int>(m_options.unacknowledgedTimeout.count());
    auto &socket = m_stream.socket();
    setConnectionOptions(socket);
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                       &unacknowledgedTimeout, sizeof unacknowledgedTimeout);
}

} // namespace azurelb
