#include "support/run_until.hpp"
#include "support/standin_process.hpp"

#include <azurelb/http/endpoint.hpp>
#include <azurelb/http/http_client.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

namespace {

using namespace azurelb;
using wire::standin::fault;

constexpr std::chrono::milliseconds shortTimeout{300};

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(reusesTheConnection);
    CPPUNIT_TEST(refusedConnectionReportsNotSent);
    CPPUNIT_TEST(lostResponseReportsSent);
    CPPUNIT_TEST(resetReportsSent);
    CPPUNIT_TEST(truncatedResponseReportsSent);
    CPPUNIT_TEST(timeoutReportsSent);
    CPPUNIT_TEST(lateResponseNeverReachesTheNextCall);
    CPPUNIT_TEST(errorStatusReportsAnswered);
    CPPUNIT_TEST(closedConnectionIsReplacedBeforeSending);
    CPPUNIT_TEST(closedClientDropsTheHandler);
    CPPUNIT_TEST(executorRefusesRequestsBeyondItsSlots);
    CPPUNIT_TEST(parsesEndpoints);
    CPPUNIT_TEST_SUITE_END();

public:
    void reusesTheConnection()
    {
        for (const char *body : {"a", "b", "c"}) {
            const http_outcome outcome = call(body);
            CPPUNIT_ASSERT(outcome.progress == http_progress::answered);
            CPPUNIT_ASSERT_EQUAL(std::string{body}, outcome.response.body());
        }
        CPPUNIT_ASSERT_EQUAL(1U, m_process.status().most_connections());
        CPPUNIT_ASSERT_EQUAL(1U, runsOf("b"));
    }

    void refusedConnectionReportsNotSent()
    {
        setFault([](fault &wanted) { wanted.set_down(true); });
        CPPUNIT_ASSERT(call("a").progress == http_progress::not_sent);
        CPPUNIT_ASSERT_EQUAL(0U, runsOf("a"));
    }

    void lostResponseReportsSent()
    {
        setFault([](fault &wanted) { wanted.set_answer_lost(1); });
        CPPUNIT_ASSERT(call("a").progress == http_progress::sent);
        CPPUNIT_ASSERT_EQUAL(1U, runsOf("a"));
        CPPUNIT_ASSERT(call("b").progress == http_progress::answered);
    }

    void resetReportsSent()
    {
        setFault([](fault &wanted) { wanted.set_failing(wire::standin::FAILING_RESET); });
        CPPUNIT_ASSERT(call("a").progress == http_progress::sent);
        CPPUNIT_ASSERT_EQUAL(1U, runsOf("a"));
    }

    void truncatedResponseReportsSent()
    {
        setFault([](fault &wanted) { wanted.set_truncated(1); });
        CPPUNIT_ASSERT(call("a").progress == http_progress::sent);
        CPPUNIT_ASSERT(call("b").progress == http_progress::answered);
    }

    void timeoutReportsSent()
    {
        setFault([](fault &wanted) { wanted.set_silent(true); });
        CPPUNIT_ASSERT(call("a", shortTimeout).progress == http_progress::sent);
    }

    void lateResponseNeverReachesTheNextCall()
    {
        constexpr std::uint32_t lateMs = 500;
        setFault([](fault &wanted) { wanted.set_late_ms(lateMs); });
        CPPUNIT_ASSERT(call("a", shortTimeout).progress == http_progress::sent);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, call("b").response.body());
    }

    void errorStatusReportsAnswered()
    {
        setFault([](fault &wanted) { wanted.set_failing(wire::standin::FAILING_ERROR); });
        const http_outcome outcome = call("a");
        CPPUNIT_ASSERT(outcome.progress == http_progress::answered);
        CPPUNIT_ASSERT_EQUAL(500U, outcome.response.result_int());
    }

    void closedConnectionIsReplacedBeforeSending()
    {
        CPPUNIT_ASSERT(call("a").progress == http_progress::answered);
        setFault([](fault &wanted) { wanted.set_down(true); });
        m_process.clearFault();
        CPPUNIT_ASSERT(call("b").progress == http_progress::answered);
        CPPUNIT_ASSERT_EQUAL(1U, runsOf("b"));
    }

    void closedClientDropsTheHandler()
    {
        bool called = false;
        m_client->call(requestOf("a"), {test::defaultWaitLimit, test::defaultWaitLimit},
                       [&called](http_outcome &&) { called = true; });
        m_client.reset();
        CPPUNIT_ASSERT(!test::runUntil(
            m_loop, [&called] { return called; }, shortTimeout));
    }

    void executorRefusesRequestsBeyondItsSlots()
    {
        http_client other{m_loop, m_process.address()};
        http_request slow = requestOf("slow");
        slow.set("X-Run-Ms", "60000");
        other.call(std::move(slow), {test::defaultWaitLimit, test::defaultWaitLimit},
                   [](http_outcome &&) {});
        CPPUNIT_ASSERT(test::runUntil(m_loop, [this] { return runsOf("slow") == 1U; }));
        const http_outcome outcome = call("a");
        CPPUNIT_ASSERT_EQUAL(503U, outcome.response.result_int());
        CPPUNIT_ASSERT(outcome.response["Azurelb-Run"] == "not-run");
        CPPUNIT_ASSERT_EQUAL(0U, runsOf("a"));
    }

    void parsesEndpoints()
    {
        for (const char *good : {"127.0.0.1:80", "[::1]:65535", "0.0.0.0:0"})
            CPPUNIT_ASSERT_EQUAL(std::string{good}, toString(parseEndpoint(good).value()));
        for (const char *bad : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80",
                                "127.0.0.1:8o", "localhost:80", "127.0.0.1:-1", "[127.0.0.1]:80"})
            CPPUNIT_ASSERT_MESSAGE(bad, !parseEndpoint(bad));
    }

private:
    static http_request requestOf(const std::string &body)
    {
        constexpr unsigned httpVersion = 11;
        http_request request{boost::beast::http::verb::post, "/", httpVersion, body};
        request.set("X-Request-Id", body);
        request.prepare_payload();
        return request;
    }

    template <typename Set>
    void setFault(Set set)
    {
        fault wanted;
        set(wanted);
        m_process.setFault(wanted);
    }

    std::uint32_t runsOf(const std::string &id)
    {
        const auto counts = m_process.runs();
        const auto found = counts.runs().find(id);
        return found == counts.runs().end() ? 0 : found->second;
    }

    http_outcome call(const std::string &body,
                      std::chrono::milliseconds timeout = test::defaultWaitLimit)
    {
        std::optional<http_outcome> got;
        m_client->call(requestOf(body), {timeout, timeout},
                       [&got](http_outcome &&outcome) { got = std::move(outcome); });
        CPPUNIT_ASSERT(test::runUntil(m_loop, [&got] { return got.has_value(); }));
        return *got;
    }

    test::standin_process m_process{"executor", {"--slots=1"}};
    boost::asio::io_context m_loop;
    std::optional<http_client> m_client{std::in_place, m_loop, m_process.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace
