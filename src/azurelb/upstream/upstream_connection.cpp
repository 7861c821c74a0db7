#include <azurelb/core/clock_source.hpp>
#include <azurelb/http/parse_endpoint.hpp>
#include <azurelb/http/run_state.hpp>
#include <azurelb/upstream/exchange_result.hpp>
#include <azurelb/upstream/upstream_connection.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

namespace azurelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::string_view requestIdField{"X-Request-Id"};
constexpr std::string_view runField{"Azurelb-Run"};

using keepalive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keepalive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keepalive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

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
    boost::system::error_code failure;
    m_stream.expires_after(m_options.connectTimeout);
    co_await m_stream.async_connect(parseEndpoint(m_address),
                                    asio::redirect_error(asio::use_awaitable, failure));
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
        co_return exchange_result{
            attempt_state::unknown, {}, "no whole answer from the upstream: " + failure.message()};
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

bool upstream_connection::isReusable()
{
    auto &socket = m_stream.socket();
    if (!m_sound || !socket.is_open())
        return false;
    char byte = 0;
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
    return failure == asio::error::would_block;
}

void upstream_connection::setOptions()
{
    constexpr int idleSeconds = 2;
    constexpr int intervalSeconds = 1;
    constexpr int probes = 3;
    boost::system::error_code ignored;
    auto &socket = m_stream.socket();
    const auto unacknowledged = static_cast<int>(m_options.unacknowledged.count());
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(keepalive_idle{idleSeconds}, ignored);
    socket.set_option(keepalive_interval{intervalSeconds}, ignored);
    socket.set_option(keepalive_count{probes}, ignored);
    socket.set_option(user_timeout{unacknowledged}, ignored);
}

} // namespace azurelb
