#include <azurelb/config/config_view.hpp>
#include <azurelb/config/secret_digest.hpp>
#include <azurelb/request/request_check.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
namespace http = boost::beast::http;

constexpr time_point now{std::chrono::hours{1}};

wire::config_document sampleConfig()
{
    wire::config_document document;
    document.add_teams()->set_name("choir");
    wire::team_key &key = *document.add_keys();
    key.set_id("k1");
    key.set_team("choir");
    key.set_digest(secretDigest("secret"));
    document.add_queues()->set_name("plans");
    wire::queue &open = *document.add_queues();
    open.set_name("public");
    open.set_open(true);
    open.set_idempotent(true);
    return document;
}

http_request makeRequest(std::string_view target, std::string_view secret = "secret",
                         http::verb method = http::verb::post)
{
    http_request request{method, target, 11};
    if (!secret.empty())
        request.set(http::field::authorization, "Bearer " + std::string{secret});
    request.body() = "{}";
    request.prepare_payload();
    return request;
}

class request_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_check_test);
    CPPUNIT_TEST(acceptsValidKey);
    CPPUNIT_TEST(refusesWrongOrMissingKey);
    CPPUNIT_TEST(reportsUnknownQueueOnlyToCallersWithAValidKey);
    CPPUNIT_TEST(refusesUnknownPathAndQueue);
    CPPUNIT_TEST(servesOpenQueueWithoutKey);
    CPPUNIT_TEST(rejectsTimeoutOutOfRange);
    CPPUNIT_TEST(recognisesIdempotentMethods);
    CPPUNIT_TEST(removesKeyAndHopFields);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsValidKey()
    {
        const checked_request checked = check(makeRequest("/v1/queues/plans/a?b=c"));
        CPPUNIT_ASSERT(!checked.error);
        CPPUNIT_ASSERT_EQUAL(std::string{"choir"}, checked.request.team.value());
        CPPUNIT_ASSERT(checked.request.message.target() == "/a?b=c");
        CPPUNIT_ASSERT(checked.request.deadline == now + m_options.defaultTimeout);
    }

    void refusesWrongOrMissingKey()
    {
        assertRejected(makeRequest("/v1/queues/plans", "other"), http::status::unauthorized);
        assertRejected(makeRequest("/v1/queues/plans", ""), http::status::unauthorized);
    }

    void reportsUnknownQueueOnlyToCallersWithAValidKey()
    {
        assertRejected(makeRequest("/v1/queues/none", "other"), http::status::unauthorized);
    }

    void refusesUnknownPathAndQueue()
    {
        assertRejected(makeRequest("/v1/queues/none"), http::status::not_found);
        assertRejected(makeRequest("/v1/queues/"), http::status::not_found);
        assertRejected(makeRequest("/"), http::status::not_found);
    }

    void servesOpenQueueWithoutKey()
    {
        const checked_request checked = check(makeRequest("/v1/queues/public", ""));
        CPPUNIT_ASSERT(!checked.error);
        CPPUNIT_ASSERT(checked.request.team.empty());
        CPPUNIT_ASSERT(checked.request.idempotent);
    }

    void rejectsTimeoutOutOfRange()
    {
        for (const char *wrong : {"0", "-1", "x", "", "60001", "5s", "99999999999999999999"}) {
            http_request request = makeRequest("/v1/queues/plans");
            request.set("Azurelb-Timeout-Ms", wrong);
            assertRejected(request, http::status::bad_request);
        }
        http_request request = makeRequest("/v1/queues/plans");
        request.set("Azurelb-Timeout-Ms", "250");
        CPPUNIT_ASSERT(check(request).request.deadline == now + std::chrono::milliseconds{250});
    }

    void recognisesIdempotentMethods()
    {
        const auto idempotent = [this](http::verb method) {
            return check(makeRequest("/v1/queues/plans", "secret", method)).request.idempotent;
        };
        CPPUNIT_ASSERT(idempotent(http::verb::get));
        CPPUNIT_ASSERT(idempotent(http::verb::put));
        CPPUNIT_ASSERT(!idempotent(http::verb::post));
        CPPUNIT_ASSERT(!idempotent(http::verb::patch));
    }

    void removesKeyAndHopFields()
    {
        http_request request = makeRequest("/v1/queues/plans");
        request.set(http::field::connection, "close");
        request.set("Idempotency-Key", "k");
        const checked_request checked = check(request);
        const http_request &sent = checked.request.message;
        CPPUNIT_ASSERT(sent[http::field::authorization].empty());
        CPPUNIT_ASSERT(sent["Idempotency-Key"].empty());
        CPPUNIT_ASSERT(sent.keep_alive());
        CPPUNIT_ASSERT_EQUAL(std::string{"k"}, checked.request.idempotencyKey);
    }

private:
    [[nodiscard]] checked_request check(const http_request &request) const
    {
        return checkRequest(request, m_config, m_options, now);
    }

    void assertRejected(const http_request &request, http::status expected) const
    {
        const checked_request checked = check(request);
        CPPUNIT_ASSERT(checked.error);
        CPPUNIT_ASSERT(checked.error->status == expected);
        CPPUNIT_ASSERT(checked.error->run == run_state::not_run);
    }

    config_view m_config{sampleConfig(), revision{1}};
    caller_options m_options{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_check_test);

} // namespace
