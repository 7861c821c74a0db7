#include "support/caller_load.hpp"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using test::caller_load;
using test::running_fleet;
using namespace std::chrono_literals;

constexpr std::uint32_t teamLimit{6};

// The executor continues a request after its caller has disconnected, as real ones may.
test::fleet_options limitedFleet()
{
    test::fleet_options made;
    made.daemons = 2;
    made.executors = 1;
    made.slots = 32;
    made.teamLimit = teamLimit;
    return made;
}

class abandoned_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(abandoned_request_test);
    CPPUNIT_TEST(limitCountsRequestsRunningPastTheirDeadline);
    CPPUNIT_TEST(limitCountsRequestsOfDisconnectedCallers);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitCountsRequestsRunningPastTheirDeadline()
    {
        running_fleet fleet{limitedFleet()};
        caller_load load{fleet, 18, requestsOf(fleet, 200ms), 90};
        load.finish();
        assertLimit(fleet);
    }

    void limitCountsRequestsOfDisconnectedCallers()
    {
        running_fleet fleet{limitedFleet()};
        for (int round = 0; round < 40; ++round)
            sendAndDisconnect(fleet, static_cast<std::size_t>(round) % fleet.size());
        CPPUNIT_ASSERT(test::eventually([&] { return fleet.running() == 0; }));
        assertLimit(fleet);
    }

private:
    static caller_load::request_factory requestsOf(const running_fleet &fleet,
                                                   std::chrono::milliseconds timeout)
    {
        return [&fleet, timeout](std::size_t number) {
            test::call made = fleet.makeCall("plan", "plan-" + std::to_string(number));
            made.runDuration = 1000ms;
            made.timeout = timeout;
            return made;
        };
    }

    /** Sends a request and closes the connection at once. */
    static void sendAndDisconnect(running_fleet &fleet, std::size_t daemon)
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::socket socket{loop};
        socket.connect(fleet.callerAddress(daemon));
        const std::string request = "POST /v1/queues/plan HTTP/1.1\r\nAuthorization: Bearer "
            + fleet.key() + "\r\nX-Run-Ms: 1000\r\nContent-Length: 2\r\n\r\n{}";
        boost::asio::write(socket, boost::asio::buffer(request));
        std::this_thread::sleep_for(20ms);
    }

    static void assertLimit(running_fleet &fleet)
    {
        const std::uint32_t most = fleet.executors().status().most_running();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= teamLimit);
        CPPUNIT_ASSERT_MESSAGE("requests ran", most > 0);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(abandoned_request_test);
