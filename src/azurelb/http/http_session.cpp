#include <azurelb/http/http_session.hpp>
#include <azurelb/http/problem_response.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <iterator>

namespace azurelb {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/** Counts a request as in flight during its lifetime. */
class in_flight_counter
{
public:
    explicit in_flight_counter(std::size_t &count) noexcept
        : m_count{count}
    {
        ++m_count;
    }
    in_flight_counter(const in_flight_counter &) = delete;
    in_flight_counter &operator=(const in_flight_counter &) = delete;
    ~in_flight_counter() { --m_count; }

private:
    std::size_t &m_count;
};

struct read_problem
{
    http::error error;
    http::status status;
    std::string_view kind;
    std::string_view detail;
};

constexpr read_problem readProblems[]{
    {http::error::body_limit, http::status::payload_too_large, "body-too-large",
     "the body exceeds the size limit of this service"},
    {http::error::header_limit, http::status::request_header_fields_too_large, "head-too-large",
     "the request line and header fields exceed the size limit of this service"},
};

problem problemOfRead(const boost::system::error_code &failure)
{
    const auto matches = [&failure](const read_problem &each) {
        return failure == each.error;
    };
    const auto *const found =
        std::find_if(std::begin(readProblems), std::end(readProblems), matches);
    if (found != std::end(readProblems))
        return {found->status, run_state::not_run, found->kind, std::string{found->detail}};
    if (failure == beast::error::timeout)
        return {http::status::request_timeout, run_state::not_run, "slow-request",
                "the request was not received completely in time"};
    return {http::status::bad_request, run_state::not_run, "malformed-request",
            "the request is not valid HTTP/1.1: " + failure.message()};
}

bool isAnswerable(const boost::system::error_code &failure)
{
    const bool isParserError =
        failure.category() == make_error_code(http::error::body_limit).category();
    const bool isConnectionClosed =
        failure == http::error::end_of_stream || failure == http::error::partial_message;
    return (isParserError && !isConnectionClosed) || failure == beast::error::timeout;
}

} // namespace

http_session::shared_state::shared_state(const http_limits &bounds, request_handler serve)
    : limits{bounds}
    , handler{std::move(serve)}
{ }

void http_session::shared_state::closeIdle() noexcept
{
    for (http_session *session : sessions) {
        if (session->m_idle)
            session->close();
    }
}

void http_session::shared_state::closeAll() noexcept
{
    for (http_session *session : sessions)
        session->close();
}

http_session::http_session(asio::ip::tcp::socket socket, std::shared_ptr<shared_state> shared)
    : m_stream{std::move(socket)}
    , m_shared{std::move(shared)}
    , m_readTimer{m_stream.get_executor()}
{
    m_shared->sessions.insert(this);
}

http_session::~http_session()
{
    m_shared->sessions.erase(this);
}

asio::awaitable<void> http_session::run()
{
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    m_stream.socket().set_option(asio::socket_base::keep_alive{true}, ignored);
    bool open = true;
    while (open)
        open = co_await waitForRequest() && co_await serveRequest();
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> http_session::waitForRequest()
{
    if (m_buffer.size() > 0)
        co_return true;
    constexpr std::size_t chunkBytes = 8 * 1024;
    boost::system::error_code failure;
    m_idle = true;
    m_stream.expires_after(m_shared->limits.idleTimeout);
    const std::size_t bytes = co_await m_stream.async_read_some(
        m_buffer.prepare(chunkBytes), asio::redirect_error(asio::use_awaitable, failure));
    m_buffer.commit(bytes);
    m_idle = false;
    co_return !failure;
}

asio::awaitable<bool> http_session::serveRequest()
{
    const in_flight_counter counted{m_shared->inFlight};
    request_parser parser;
    if (!co_await readRequest(parser))
        co_return false;
    const bool keepAlive = parser.get().keep_alive();
    std::optional<http_response> response = co_await handle(parser.get());
    if (!response)
        co_return false;
    co_return co_await write(std::move(*response), keepAlive && !m_shared->closing);
}

asio::awaitable<bool> http_session::readRequest(request_parser &parser)
{
    const http_limits &limits = m_shared->limits;
    boost::system::error_code failure;
    parser.header_limit(limits.maxHeadBytes);
    parser.body_limit(limits.maxBodyBytes);
    m_stream.expires_never();
    startReadTimer(limits.headTimeout);
    co_await http::async_read_header(m_stream, m_buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    if (!failure && !parser.is_done()) {
        startReadTimer(limits.bodyTimeout);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
            co_await writeContinue();
        co_await http::async_read(m_stream, m_buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, failure));
    }
    m_readTimer.cancel();
    if (failure && m_timedOut)
        failure = beast::error::timeout;
    if (failure && isAnswerable(failure))
        co_await rejectRequest(failure);
    co_return !failure;
}

void http_session::startReadTimer(std::chrono::milliseconds time)
{
    m_readTimer.expires_after(time);
    m_readTimer.async_wait([self = weak_from_this()](const boost::system::error_code &cancelled) {
        const auto session = self.lock();
        if (cancelled || !session)
            return;
        boost::system::error_code ignored;
        session->m_timedOut = true;
        session->m_stream.socket().cancel(ignored);
    });
}

asio::awaitable<std::optional<http_response>> http_session::handle(const http_request &request)
{
    using namespace asio::experimental::awaitable_operators;
    m_stream.expires_never();
    try {
        auto ended = co_await (m_shared->handler(request) || waitForDisconnect());
        if (ended.index() == 0)
            co_return std::get<0>(std::move(ended));
    } catch (const boost::system::system_error &) {
        co_return std::nullopt;
    }
    co_return std::nullopt;
}

asio::awaitable<void> http_session::waitForDisconnect()
{
    boost::system::error_code failure;
    auto &socket = m_stream.socket();
    co_await socket.async_wait(asio::ip::tcp::socket::wait_read, asio::use_awaitable);
    char byte = 0;
    socket.non_blocking(true, failure);
    const std::size_t bytes =
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
    if (bytes == 0 && failure != asio::error::would_block)
        co_return;
    // The caller has pipelined its next request; it is read after this response.
    asio::steady_timer never{socket.get_executor(), asio::steady_timer::time_point::max()};
    co_await never.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> http_session::write(http_response response, bool keepAlive)
{
    boost::system::error_code failure;
    response.keep_alive(keepAlive);
    m_stream.expires_after(m_shared->limits.writeTimeout);
    co_await http::async_write(m_stream, response,
                               asio::redirect_error(asio::use_awaitable, failure));
    co_return keepAlive && !failure;
}

asio::awaitable<void> http_session::writeContinue()
{
    constexpr unsigned http11 = 11;
    boost::system::error_code failure;
    http::response<http::empty_body> interim{http::status::continue_, http11};
    co_await http::async_write(m_stream, interim,
                               asio::redirect_error(asio::use_awaitable, failure));
}

asio::awaitable<void> http_session::linger()
{
    constexpr std::chrono::milliseconds maxTime{1000};
    constexpr std::size_t maxBytes = 16 * 1024 * 1024;
    std::array<char, 16 * 1024> discarded{};
    boost::system::error_code failure;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    m_stream.expires_after(maxTime);
    for (std::size_t total = 0; !failure && total < maxBytes;)
        total += co_await m_stream.async_read_some(
            asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, failure));
}

asio::awaitable<void> http_session::rejectRequest(boost::system::error_code failure)
{
    co_await write(problemResponse(problemOfRead(failure)), false);
    co_await linger();
}

void http_session::close() noexcept
{
    m_stream.close();
}

} // namespace azurelb
