#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <thread>

namespace {

using namespace azurelb;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

/** A server whose event loop runs on a thread of its own; requests to /slow are delayed. */
class running_server
{
public:
    explicit running_server(const http_limits &limits)
        : m_server{m_loop, "127.0.0.1:0", limits, [this](const http_request &request) {
                       return handle(request);
                   }}
    {
        m_server.start();
        m_thread = std::thread{[this] {
            m_loop.run();
        }};
    }
    running_server(const running_server &) = delete;
    running_server &operator=(const running_server &) = delete;
    ~running_server()
    {
        asio::post(m_loop, [this] {
            m_server.close();
            m_loop.stop();
        });
        m_thread.join();
    }

    /** Sends the text on a new connection and returns everything received until it closes. */
    [[nodiscard]] std::string exchange(const std::string &text) const
    {
        asio::io_context loop;
        tcp::socket socket{loop};
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server.port()});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(text), ignored);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    void drain()
    {
        asio::post(m_loop, [this] { m_server.drain(std::chrono::milliseconds{0}); });
    }

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    [[nodiscard]] int cancelled() const noexcept { return m_cancelled; }
    [[nodiscard]] int requestsReceived() const noexcept { return m_requestsReceived; }

private:
    asio::awaitable<http_response> handle(const http_request &request)
    {
        constexpr std::chrono::milliseconds slowResponseTime{300};
        ++m_requestsReceived;
        if (request.target() == "/slow") {
            asio::steady_timer timer{m_loop, slowResponseTime};
            try {
                co_await timer.async_wait(asio::use_awaitable);
            } catch (const boost::system::system_error &) {
                ++m_cancelled;
                throw;
            }
        }
        co_return jsonResponse(http::status::ok, request.body());
    }

    asio::io_context m_loop{1};
    http_server m_server;
    std::thread m_thread{};
    std::atomic<int> m_cancelled{0};
    std::atomic<int> m_requestsReceived{0};
};

http_limits smallLimits()
{
    http_limits limits;
    limits.maxHeadBytes = 1024;
    limits.maxBodyBytes = 64;
    limits.headTimeout = std::chrono::milliseconds{200};
    return limits;
}

bool hasStatus(const std::string &answer, std::string_view status)
{
    return answer.starts_with("HTTP/1.1 " + std::string{status});
}

template <typename Condition>
void waitUntil(Condition condition)
{
    constexpr int tries = 3000;
    for (int attempt = 0; attempt < tries && !condition(); ++attempt)
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    CPPUNIT_ASSERT(condition());
}

class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(answersPipelinedRequests);
    CPPUNIT_TEST(refusesMalformedInput);
    CPPUNIT_TEST(refusesLargeBodyAndHead);
    CPPUNIT_TEST(refusesSlowHead);
    CPPUNIT_TEST(answersContinue);
    CPPUNIT_TEST(cancelsWhenCallerGoesAway);
    CPPUNIT_TEST(drainFinishesRequestInFlight);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersPipelinedRequests()
    {
        const std::string one = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
        const std::string last =
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nb";
        const std::string answer = m_server->exchange(one + "a" + last);
        CPPUNIT_ASSERT(answer.find("\r\n\r\naHTTP/1.1 200") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("\r\n\r\nb"));
    }

    void refusesMalformedInput()
    {
        CPPUNIT_ASSERT(hasStatus(m_server->exchange("nonsense\r\n\r\n"), "400"));
        const std::string answer =
            m_server->exchange("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
        CPPUNIT_ASSERT(hasStatus(answer, "400"));
        CPPUNIT_ASSERT(answer.find("\"run\":\"not-run\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, m_server->requestsReceived());
    }

    void refusesLargeBodyAndHead()
    {
        const std::string body(100, 'x');
        CPPUNIT_ASSERT(hasStatus(
            m_server->exchange("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + body), "413"));
        CPPUNIT_ASSERT(hasStatus(
            m_server->exchange("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n"),
            "431"));
        CPPUNIT_ASSERT_EQUAL(0, m_server->requestsReceived());
    }

    void refusesSlowHead() { CPPUNIT_ASSERT(hasStatus(m_server->exchange("GET / HT"), "408")); }

    void answersContinue()
    {
        const std::string answer =
            m_server->exchange("POST / HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-continue\r\n"
                               "Connection: close\r\n\r\na");
        CPPUNIT_ASSERT(hasStatus(answer, "100"));
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 200") != std::string::npos);
    }

    void cancelsWhenCallerGoesAway()
    {
        {
            asio::io_context loop;
            tcp::socket socket{loop};
            socket.connect({asio::ip::make_address("127.0.0.1"), m_server->port()});
            asio::write(socket, asio::buffer(std::string{"GET /slow HTTP/1.1\r\n\r\n"}));
            waitUntil([this] { return m_server->requestsReceived() == 1; });
        }
        waitUntil([this] { return m_server->cancelled() == 1; });
    }

    void drainFinishesRequestInFlight()
    {
        std::string answer;
        std::thread caller{[&] {
            answer = m_server->exchange("GET /slow HTTP/1.1\r\n\r\n");
        }};
        waitUntil([this] { return m_server->requestsReceived() == 1; });
        m_server->drain();
        caller.join();
        CPPUNIT_ASSERT(hasStatus(answer, "200"));
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
    }

private:
    std::unique_ptr<running_server> m_server{std::make_unique<running_server>(smallLimits())};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace
