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

constexpr std::string_view requestIdField{"X-Request-Id"};
constexpr std::string_view runField{"Azurelb-Run"};

bool isClosedByPeer(const boost::system::error_code &failure)
{
    return failure == http::error::end_of_stream || failure == http::error::partial_message
        || failure == asio::error::connection_reset || failure == asio::error::broken_pipe;
}

bool isRefusal(const http_response &response)
{
    const bool refusingStatus = response.result() == http::status::service_unavailable
        || response.result() == http::status::too_many_requests;
    return refusingStatus && response[runField] == toString(run_state::not_run);
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
    setOptions();
    m_provedAt = m_clock.now();
    m_sound = true;
    co_return true;
}

asio::awaitable<exchange_result> upstream_connection::exchange(const http_request &request,
                                                               time_point deadline)
{
    boost::system::error_code failure;
    m_sound = false;
    m_stream.expires_at(deadline);
    co_await http::async_write(m_stream, request,
                               asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return exchange_result{
            attempt_state::unknown, {}, "sending to the upstream failed: " + failure.message()};
    co_return co_await readAnswer(request);
}

asio::awaitable<exchange_result> upstream_connection::readAnswer(const http_request &request)
{
    boost::system::error_code failure;
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_options.answerBytes);
    parser.skip(request.method() == http::verb::head);
    co_await http::async_read(m_stream, m_buffer, parser,
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return exchange_result{attempt_state::unknown,
                                  {},
                                  "no whole answer from the upstream: " + failure.message(),
                                  isClosedByPeer(failure)};
    m_sound = parser.get().keep_alive();
    co_return judge(request, parser.release());
}

exchange_result upstream_connection::judge(const http_request &request, http_response response)
{
    const auto echoed = response.find(requestIdField);
    const bool crossed = echoed != response.end() && echoed->value() != request[requestIdField];
    // Bytes beyond the answer belong to no request of this connection.
    const bool surplus = m_buffer.size() > 0;
    if (crossed || surplus) {
        m_sound = false;
        return {attempt_state::unknown, {}, "the upstream answered another request"};
    }
    m_provedAt = m_clock.now();
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
    m_sound = false;
    m_stream.close();
}

bool upstream_connection::isReusable()
{
    return m_sound && !m_abandoned && m_stream.socket().is_open()
        && isIdleConnectionAlive(m_stream.socket());
}

void upstream_connection::setOptions()
{
    const auto unacknowledged = static_cast<int>(m_options.unacknowledged.count());
    auto &socket = m_stream.socket();
    setConnectionOptions(socket);
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
                       sizeof unacknowledged);
}

} // namespace azurelb
