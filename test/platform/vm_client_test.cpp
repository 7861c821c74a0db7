#include <support/reserved_port.hpp>
#include <support/run_until.hpp>

#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>
#include <platform/vm_client.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace azurelb;
using namespace azurelb::platform;
using namespace azurelb::test;

namespace asio = boost::asio;

class vm_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(vm_client_test);
    CPPUNIT_TEST(withholdsWaitingOrdersWithoutPermission);
    CPPUNIT_TEST_SUITE_END();

public:
    /** The VM service is slow, so that orders wait for a connection while their owner is replaced:
        sent afterwards, they would follow those of the new owner. */
    void withholdsWaitingOrdersWithoutPermission()
    {
        constexpr std::size_t orders{8};
        constexpr std::size_t connections{4};
        std::size_t received = 0;
        asio::steady_timer held{m_loop, std::chrono::hours{1}};
        http_server service{m_loop, m_port.text(), http_limits{},
                            [&](const http_request &) -> asio::awaitable<http_response> {
                                ++received;
                                boost::system::error_code ignored;
                                co_await held.async_wait(
                                    asio::redirect_error(asio::use_awaitable, ignored));
                                co_return jsonResponse(boost::beast::http::status::ok, "{}");
                            }};
        service.start();
        vm_client client{m_loop, m_port.text(), "vm"};
        bool permitted = true;
        std::vector<vm_order_outcome> outcomes;
        for (std::size_t index = 0; index < orders; ++index)
            client.maintain(
                "m" + std::to_string(index), 1, [&permitted] { return permitted; },
                [&outcomes](vm_order_outcome outcome) { outcomes.push_back(outcome); });
        CPPUNIT_ASSERT(runUntil(m_loop, [&received] { return received == connections; }));
        permitted = false;
        held.cancel();
        CPPUNIT_ASSERT(runUntil(m_loop, [&outcomes] { return outcomes.size() == orders; }));
        CPPUNIT_ASSERT_EQUAL(connections, received);
        CPPUNIT_ASSERT(outcomes.back() == vm_order_outcome::throttled);
        service.close();
    }

private:
    asio::io_context m_loop{};
    reserved_port m_port{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(vm_client_test);

} // namespace
