#include <support/reserved_port.hpp>
#include <support/run_until.hpp>

#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>
#include <platform/executor_client.hpp>

#include <boost/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace azurelb;
using namespace azurelb::platform;
using namespace azurelb::test;
using std::chrono::milliseconds;

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

/** An incarnation of an executor without runs. It records the bodies of the report requests. */
class recording_executor
{
public:
    recording_executor(asio::io_context &loop, const std::string &address, bool keepsConnections)
        : m_keepsConnections{keepsConnections}
        , m_server{loop, address, http_limits{}, [this](const http_request &request) {
                       return answer(request);
                   }}
    {
        m_server.start();
    }

    ~recording_executor() { m_server.close(); }

    std::vector<json::object> requests{};

private:
    asio::awaitable<http_response> answer(const http_request &request)
    {
        requests.push_back(json::parse(request.body()).as_object());
        http_response made =
            jsonResponse(http::status::ok, R"({"ClockMs":5,"Running":[],"EndedRuns":[],"born":1})");
        made.keep_alive(m_keepsConnections);
        co_return made;
    }

    bool m_keepsConnections;
    http_server m_server;
};

class executor_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(executor_client_test);
    CPPUNIT_TEST(acknowledgesOnTheConnectionOfTheReport);
    CPPUNIT_TEST(doesNotAcknowledgeToAnotherIncarnation);
    CPPUNIT_TEST(acknowledgesToAnExecutorThatClosesConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    void acknowledgesOnTheConnectionOfTheReport()
    {
        recording_executor executor{m_loop, m_port.text(), true};
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
            recording_executor former{m_loop, m_port.text(), true};
            requestReports(2);
        }
        recording_executor executor{m_loop, m_port.text(), true};
        requestReports(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lastSeen(executor, 0));
        CPPUNIT_ASSERT(!executor.requests.at(0).contains("ExpiresMs"));
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 1));
    }

    void acknowledgesToAnExecutorThatClosesConnections()
    {
        recording_executor executor{m_loop, m_port.text(), false};
        requestReports(2);
        CPPUNIT_ASSERT_EQUAL(acknowledged, lastSeen(executor, 1));
    }

private:
    static constexpr std::int64_t acknowledged{7};

    [[nodiscard]] static std::int64_t lastSeen(const recording_executor &executor,
                                               std::size_t index)
    {
        return executor.requests.at(index).at("LastSeen").to_number<std::int64_t>();
    }

    void requestReports(int count)
    {
        for (int index = 0; index < count; ++index) {
            bool answered = false;
            report_request request;
            request.executor = "e1";
            request.address = m_port.text();
            request.acknowledged = acknowledged;
            request.leaseEnd = milliseconds{3000};
            m_client.report(request, [&answered](executor_reply &&reply) {
                CPPUNIT_ASSERT(reply.outcome == report_outcome::reported);
                answered = true;
            });
            CPPUNIT_ASSERT(runUntil(m_loop, [&answered] { return answered; }));
        }
    }

    asio::io_context m_loop{};
    reserved_port m_port{};
    executor_client m_client{m_loop};
};

CPPUNIT_TEST_SUITE_REGISTRATION(executor_client_test);

} // namespace
