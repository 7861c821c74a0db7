#include <support/reserved_port.hpp>
#include <support/run_until.hpp>

#include <azurelb/http/endpoint.hpp>
#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>
#include <platform/executor_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace azurelb;
using namespace azurelb::platform;
using namespace azurelb::test;
using std::chrono::milliseconds;

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

/** The executor leaves its start time out of what it says. */
constexpr std::int64_t unnamedIncarnation{0};
constexpr std::int64_t firstIncarnation{1};
constexpr std::int64_t secondIncarnation{2};

/** HTTP server that closes each connection after one exchange; http_server keeps them. */
class closing_server
{
public:
    closing_server(asio::io_context &loop, const tcp::endpoint &address, request_handler handler)
        : m_acceptor{std::make_shared<tcp::acceptor>(loop, address)}
    {
        asio::co_spawn(loop, serve(m_acceptor, std::move(handler)), asio::detached);
    }

    closing_server(const closing_server &) = delete;
    closing_server &operator=(const closing_server &) = delete;

    ~closing_server()
    {
        boost::system::error_code ignored;
        m_acceptor->close(ignored);
    }

private:
    static asio::awaitable<void> serve(std::shared_ptr<tcp::acceptor> acceptor,
                                       request_handler handler)
    {
        while (acceptor->is_open()) {
            boost::system::error_code failure;
            tcp::socket socket =
                co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, failure));
            boost::beast::flat_buffer buffer;
            http_request request;
            if (!failure)
                co_await http::async_read(socket, buffer, request,
                                          asio::redirect_error(asio::use_awaitable, failure));
            if (failure || !acceptor->is_open())
                continue;
            http_response response = co_await handler(request);
            response.keep_alive(false);
            co_await http::async_write(socket, response,
                                       asio::redirect_error(asio::use_awaitable, failure));
        }
    }

    std::shared_ptr<tcp::acceptor> m_acceptor;
};

/** How a recording_executor answers. */
struct executor_behaviour
{
    bool keepsConnections{true};
    /** Holds requests without an answer. */
    bool answers{true};
    http::status reportStatus{http::status::ok};
    std::int64_t startedUnixMs{firstIncarnation};
};

/** An incarnation of an executor without runs. It records the bodies of the requests. */
class recording_executor
{
public:
    recording_executor(asio::io_context &loop, const std::string &address,
                       const executor_behaviour &behaviour)
        : m_loop{loop}
        , m_behaviour{behaviour}
    {
        const request_handler handler = [this](const http_request &request) {
            return answer(request);
        };
        if (behaviour.keepsConnections) {
            m_server.emplace(loop, address, http_limits{}, handler);
            m_server->start();
        } else {
            m_closingServer.emplace(loop, parseEndpoint(address).value(), handler);
        }
    }

    ~recording_executor()
    {
        if (m_server)
            m_server->close();
    }

    /** Report requests. */
    std::vector<json::object> requests{};
    std::vector<json::object> starts{};

private:
    asio::awaitable<http_response> answer(const http_request &request)
    {
        const bool isStart = request.target() == "/azurelb/run-start";
        (isStart ? starts : requests).push_back(json::parse(request.body()).as_object());
        if (!m_behaviour.answers) {
            asio::steady_timer never{m_loop, std::chrono::hours{1}};
            co_await never.async_wait(asio::use_awaitable);
        }
        json::object body{{"ClockMs", 5}, {"Running", json::array{}}, {"EndedRuns", json::array{}}};
        if (m_behaviour.startedUnixMs != unnamedIncarnation)
            body["born"] = m_behaviour.startedUnixMs;
        http_response made = jsonResponse(isStart ? http::status::ok : m_behaviour.reportStatus,
                                          json::serialize(body));
        co_return made;
    }

    asio::io_context &m_loop;
    executor_behaviour m_behaviour;
    std::optional<http_server> m_server{};
    std::optional<closing_server> m_closingServer{};
};

class executor_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(executor_client_test);
    CPPUNIT_TEST(acknowledgesOnTheConnectionOfTheReport);
    CPPUNIT_TEST(doesNotAcknowledgeToAnotherIncarnation);
    CPPUNIT_TEST(doesNotAcknowledgeAfterARestartBehindTheFirstReport);
    CPPUNIT_TEST(acknowledgesToAnExecutorThatClosesConnections);
    CPPUNIT_TEST(doesNotAcknowledgeToAnotherIncarnationThatClosesConnections);
    CPPUNIT_TEST(reportOfAnotherIncarnationIsTheReply);
    CPPUNIT_TEST(firstReportIdentifiesItsConnection);
    CPPUNIT_TEST(startsRunsOnTheIncarnationOfTheOrder);
    CPPUNIT_TEST(startOrderDoesNotReachARestartedExecutor);
    CPPUNIT_TEST(waitingStartOrderDoesNotReachARestartedExecutor);
    CPPUNIT_TEST(startsRunsOnTheNewIncarnation);
    CPPUNIT_TEST(startsRunsOnAnExecutorThatClosesConnections);
    CPPUNIT_TEST(refusalOfTheReportIsTheOutcomeOfTheOrder);
    CPPUNIT_TEST(answerWithoutAStartTimeProvesNoIncarnation);
    CPPUNIT_TEST(orderForAnUnknownIncarnationDoesNotReachAKnownOne);
    CPPUNIT_TEST(usesAnExecutorThatNeverNamesItsStartTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void acknowledgesOnTheConnectionOfTheReport()
    {
        recording_executor executor{m_loop, m_port.text(), {}};
        requestReports(3);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSeen(executor, 0));
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 1));
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 2));
        CPPUNIT_ASSERT(executor.requests.at(1).contains("ExpiresMs"));
    }

    /** The executor restarts between two reports. Numbers of ended runs that the former incarnation
        has listed would make the new one discard ends that nobody has seen: their tasks run
        twice. */
    void doesNotAcknowledgeToAnotherIncarnation()
    {
        {
            recording_executor former{m_loop, m_port.text(), {}};
            requestReports(2);
        }
        recording_executor executor{m_loop, m_port.text(), {}};
        requestReports(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSeen(executor, 0));
        CPPUNIT_ASSERT(!executor.requests.at(0).contains("ExpiresMs"));
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 1));
    }

    /** The former incarnation has answered one report only, so that the connection is lost right
        after a first report: acknowledged ends of the new one would be lost, too. */
    void doesNotAcknowledgeAfterARestartBehindTheFirstReport()
    {
        {
            recording_executor former{m_loop, m_port.text(), {}};
            requestReports(1);
        }
        recording_executor executor{m_loop, m_port.text(), {}};
        requestReports(1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSeen(executor, 0));
        CPPUNIT_ASSERT(!executor.requests.at(0).contains("ExpiresMs"));
    }

    void acknowledgesToAnExecutorThatClosesConnections()
    {
        recording_executor executor{m_loop, m_port.text(), {.keepsConnections = false}};
        requestReports(2);
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 1));
        // Each request follows its identification.
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, executor.requests.size());
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 3));
        CPPUNIT_ASSERT(executor.requests.at(1).contains("ExpiresMs"));
        CPPUNIT_ASSERT(executor.requests.at(3).contains("ExpiresMs"));
    }

    /** Each report request goes out on a new connection, so that any of them may be the first to
        reach the new incarnation, which would discard its ends and grant the longest lease. */
    void doesNotAcknowledgeToAnotherIncarnationThatClosesConnections()
    {
        {
            recording_executor former{m_loop, m_port.text(), {.keepsConnections = false}};
            requestReports(2);
        }
        recording_executor executor{
            m_loop, m_port.text(), {.keepsConnections = false, .startedUnixMs = secondIncarnation}};
        requestReports(2);
        for (std::size_t index = 0; index < executor.requests.size(); ++index) {
            CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSeen(executor, index));
            CPPUNIT_ASSERT(!executor.requests.at(index).contains("ExpiresMs"));
        }
        requestReports(1, secondIncarnation);
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, executor.requests.size() - 1));
        CPPUNIT_ASSERT(executor.requests.back().contains("ExpiresMs"));
    }

    /** The owner learns of the restart from it. */
    void reportOfAnotherIncarnationIsTheReply()
    {
        for (const bool keepsConnections : {true, false}) {
            {
                recording_executor former{
                    m_loop, m_port.text(), {.keepsConnections = keepsConnections}};
                requestReports(2);
                CPPUNIT_ASSERT(!m_reduced);
            }
            recording_executor executor{
                m_loop,
                m_port.text(),
                {.keepsConnections = keepsConnections, .startedUnixMs = secondIncarnation}};
            requestReports(1);
            CPPUNIT_ASSERT_EQUAL(secondIncarnation, m_reported.startedUnixMs);
            CPPUNIT_ASSERT(m_reduced);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executor.requests.size());
        }
    }

    /** Each call to an executor is paid for. */
    void firstReportIdentifiesItsConnection()
    {
        recording_executor executor{m_loop, m_port.text(), {}};
        report_request first;
        first.startedUnixMs = firstIncarnation;
        CPPUNIT_ASSERT(requestReport(first) == report_outcome::reported);
        requestReports(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, executor.requests.size());
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 1));
    }

    void startsRunsOnTheIncarnationOfTheOrder()
    {
        recording_executor executor{m_loop, m_port.text(), {}};
        for (int count = 0; count < 3; ++count)
            CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::started);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, executor.starts.size());
    }

    /** The lease of the order is in the clock of the former incarnation. The new one would grant
        the longest lease, which neither this owner nor the next one expects: the task runs twice.
     */
    void startOrderDoesNotReachARestartedExecutor()
    {
        {
            recording_executor former{m_loop, m_port.text(), {}};
            CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::started);
        }
        recording_executor executor{m_loop, m_port.text(), {.startedUnixMs = secondIncarnation}};
        CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::restarted);
        CPPUNIT_ASSERT(executor.starts.empty());
    }

    /** The executor loses power while orders are in flight on all connections; further orders wait
        for these and are sent on new ones. */
    void waitingStartOrderDoesNotReachARestartedExecutor()
    {
        constexpr std::size_t orders{4};
        std::vector<start_outcome> outcomes;
        {
            recording_executor former{m_loop, m_port.text(), {.answers = false}};
            for (std::size_t count = 0; count < orders; ++count)
                sendStart(firstIncarnation, outcomes);
            CPPUNIT_ASSERT(runUntil(
                m_loop, [&former] { return !former.requests.empty() || !former.starts.empty(); }));
        }
        recording_executor executor{m_loop, m_port.text(), {.startedUnixMs = secondIncarnation}};
        CPPUNIT_ASSERT(runUntil(m_loop, [&outcomes] { return outcomes.size() == orders; }));
        CPPUNIT_ASSERT(executor.starts.empty());
        CPPUNIT_ASSERT(outcomes.back() == start_outcome::restarted);
    }

    void startsRunsOnTheNewIncarnation()
    {
        {
            recording_executor former{m_loop, m_port.text(), {}};
            CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::started);
        }
        recording_executor executor{m_loop, m_port.text(), {.startedUnixMs = secondIncarnation}};
        CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::restarted);
        CPPUNIT_ASSERT(start(secondIncarnation) == start_outcome::started);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, executor.starts.size());
    }

    void startsRunsOnAnExecutorThatClosesConnections()
    {
        recording_executor executor{m_loop, m_port.text(), {.keepsConnections = false}};
        CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::started);
        CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::started);
    }

    void refusalOfTheReportIsTheOutcomeOfTheOrder()
    {
        recording_executor executor{
            m_loop, m_port.text(), {.reportStatus = http::status::misdirected_request}};
        CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::other_incarnation);
        CPPUNIT_ASSERT(executor.starts.empty());
    }

    /** It may come from a new incarnation, which gets neither orders nor acknowledgements for the
        former one, and whose report would count for the former one. */
    void answerWithoutAStartTimeProvesNoIncarnation()
    {
        recording_executor executor{m_loop, m_port.text(), {.startedUnixMs = unnamedIncarnation}};
        CPPUNIT_ASSERT(start(firstIncarnation) == start_outcome::restarted);
        CPPUNIT_ASSERT(executor.starts.empty());
        CPPUNIT_ASSERT(requestReport(makeRequest(firstIncarnation)) == report_outcome::no_answer);
        for (std::size_t index = 0; index < executor.requests.size(); ++index)
            CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSeen(executor, index));
        report_request plain;
        plain.startedUnixMs = firstIncarnation;
        CPPUNIT_ASSERT(requestReport(plain) == report_outcome::no_answer);
    }

    void orderForAnUnknownIncarnationDoesNotReachAKnownOne()
    {
        recording_executor executor{m_loop, m_port.text(), {}};
        CPPUNIT_ASSERT(start(unnamedIncarnation) == start_outcome::restarted);
        CPPUNIT_ASSERT(executor.starts.empty());
    }

    void usesAnExecutorThatNeverNamesItsStartTime()
    {
        recording_executor executor{m_loop, m_port.text(), {.startedUnixMs = unnamedIncarnation}};
        CPPUNIT_ASSERT(start(unnamedIncarnation) == start_outcome::started);
        requestReports(2, unnamedIncarnation);
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, executor.requests.size() - 1));
    }

private:
    static constexpr std::int64_t acknowledged{7};

    void sendStart(std::int64_t incarnation, std::vector<start_outcome> &outcomes)
    {
        start_order order;
        order.executor = "e1";
        order.task = {"aaaaaaaaaaaaaaaa", 0, 0, 0};
        order.run = 1;
        order.leaseEnd = milliseconds{3000};
        order.startedUnixMs = incarnation;
        m_client.start(
            m_port.text(), order, [] { return true; },
            [&outcomes](start_reply reply) { outcomes.push_back(reply.outcome); });
    }

    [[nodiscard]] start_outcome start(std::int64_t incarnation)
    {
        std::vector<start_outcome> outcomes;
        sendStart(incarnation, outcomes);
        CPPUNIT_ASSERT(runUntil(m_loop, [&outcomes] { return !outcomes.empty(); }));
        return outcomes.front();
    }

    [[nodiscard]] static std::int64_t lastSeen(const recording_executor &executor,
                                               std::size_t index)
    {
        return executor.requests.at(index).at("LastSeen").to_number<std::int64_t>();
    }

    void requestReports(int count, std::int64_t incarnation = firstIncarnation)
    {
        for (int index = 0; index < count; ++index)
            CPPUNIT_ASSERT(requestReport(makeRequest(incarnation)) == report_outcome::reported);
    }

    [[nodiscard]] static report_request makeRequest(std::int64_t incarnation)
    {
        report_request request;
        request.startedUnixMs = incarnation;
        request.acknowledged = acknowledged;
        request.leaseEnd = milliseconds{3000};
        return request;
    }

    [[nodiscard]] report_outcome requestReport(report_request request)
    {
        request.executor = "e1";
        request.address = m_port.text();
        std::optional<report_outcome> outcome;
        m_client.report(request, [this, &outcome](executor_reply &&reply) {
            m_reported = std::move(reply.report);
            m_reduced = reply.reduced;
            outcome = reply.outcome;
        });
        CPPUNIT_ASSERT(runUntil(m_loop, [&outcome] { return outcome.has_value(); }));
        return *outcome;
    }

    asio::io_context m_loop{};
    reserved_port m_port{};
    executor_client m_client{m_loop};
    /** The last report. */
    executor_report m_reported{};
    bool m_reduced{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(executor_client_test);

} // namespace
