#include <support/fake_keyspace.hpp>
#include <support/reserved_port.hpp>
#include <support/run_until.hpp>

#include <azurelb/control/vm_service.hpp>
#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>
#include <azurelb/scheduling/executor_registration.hpp>
#include <platform/base64.hpp>
#include <platform/messages.hpp>
#include <platform/registered_executors.hpp>
#include <platform/relay_directory.hpp>
#include <platform/store_client.hpp>
#include <platform/store_transport.hpp>
#include <platform/vm_client.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>
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

constexpr char soundEntry[]{
    R"({"Service":"p1","Address":"10.1.0.9:80","Zone":"z","State":"ready","born":5,)"
    R"("FreeCapacity":{"Cpu":16000,"MemMb":32768},"Labels":["a"],"Machine":"m"})"};

/** Returns the sound entry with one part replaced. */
std::string replaced(const std::string &part, const std::string &with)
{
    std::string entry{soundEntry};
    return entry.replace(entry.find(part), part.size(), with);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Serves one page of items, whatever is read; watches wait. */
class single_page_store
{
public:
    single_page_store(asio::io_context &loop, const std::string &address, json::array items)
        : m_loop{loop}
        , m_items(std::move(items))
        , m_server{loop, address, http_limits{}, [this](const http_request &request) {
                       return answer(request);
                   }}
    {
        m_server.start();
    }

    ~single_page_store() { m_server.close(); }

private:
    asio::awaitable<http_response> answer(const http_request &request)
    {
        if (!request.target().starts_with("/azurelb/kv-range")) {
            asio::steady_timer timer{m_loop, std::chrono::seconds{5}};
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return jsonResponse(http::status::ok,
                               json::serialize(json::object{
                                   {"items", m_items}, {"HasMore", false}, {"CurrentRev", 99}}));
    }

    asio::io_context &m_loop;
    json::array m_items;
    http_server m_server;
};

/** Gives the same answer to all calls. */
class fixed_platform
{
public:
    fixed_platform(asio::io_context &loop, const std::string &address, unsigned status,
                   std::string body)
        : m_server{loop, address, http_limits{},
                   [status, body = std::move(body)](
                       const http_request &) -> asio::awaitable<http_response> {
                       co_return jsonResponse(http::int_to_status(status), body);
                   }}
    {
        m_server.start();
    }

    ~fixed_platform() { m_server.close(); }

private:
    http_server m_server;
};

/** Another writer has left entries that name no executor or no daemon. If one of them ends a daemon
    that reads it, or keeps the others from being read, every daemon fails in the same way, and
   again after each restart. */
class odd_entries_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_entries_test);
    CPPUNIT_TEST(oddEntriesNameNoExecutor);
    CPPUNIT_TEST(soundEntriesBesideOddOnesAreRead);
    CPPUNIT_TEST(oddAddressIsNoRelay);
    CPPUNIT_TEST(oddEntryOfTheVmListHidesNoOther);
    CPPUNIT_TEST(vmListWithAnEntryWithoutANameIsNotWhole);
    CPPUNIT_TEST(onlyAClearRefusalRefusesAnOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    void oddEntriesNameNoExecutor()
    {
        CPPUNIT_ASSERT(decodeExecutor("x-1", soundEntry).has_value());
        for (const std::string &each : oddEntries())
            CPPUNIT_ASSERT_MESSAGE(each.substr(0, 80), !decodeExecutor("x-1", each));
        for (const std::string &each : {std::string{}, std::string{"x\r\nX-Fencing-Token: 9"},
                                        std::string{"x 1"}, std::string(300, 'x')})
            CPPUNIT_ASSERT_MESSAGE(each.substr(0, 80), !decodeExecutor(each, soundEntry));
    }

    void soundEntriesBesideOddOnesAreRead()
    {
        json::array items;
        std::int64_t revision = 0;
        const auto add = [&](const std::string &id, const std::string &encoded) {
            items.push_back(json::object{
                {"Key", "servers/" + id}, {"Value", encoded}, {"Revision", ++revision}});
        };
        add("first", encodeBase64(soundEntry));
        for (const std::string &each : oddEntries())
            add("odd-" + std::to_string(revision), encodeBase64(each));
        add("not-base64", "a");
        items.push_back(
            json::object{{"Key", "servers/no-text"}, {"Value", 7}, {"Revision", ++revision}});
        add("last", encodeBase64(soundEntry));
        const reserved_port port;
        const single_page_store store{m_loop, port.text(), std::move(items)};
        store_client client{m_loop, port.text()};
        registered_executors directory{m_loop, client, milliseconds{5000}};
        std::set<executor_id> found;
        bool synced = false;
        directory.start({[&](const executor_registration &info) { found.insert(info.id); },
                         [](const executor_id &) {},
                         [&] {
                             synced = true;
                         }});
        CPPUNIT_ASSERT(runUntil(
            m_loop, [&] { return synced; }, milliseconds{3000}));
        CPPUNIT_ASSERT(found == (std::set<executor_id>{"first", "last"}));
    }

    void oddAddressIsNoRelay()
    {
        fake_keyspace store{m_loop};
        for (const char *const each : {"10.0.0.7:99999", "", "[[[[", "10.0.0.7:0"})
            store.put("azurelb/node/odd" + std::string{each}, each);
        store.put("azurelb/node/sound", "10.0.0.8:7001");
        store_transport transport{m_loop, "127.0.0.1:1"};
        std::vector<std::string> relays;
        relay_directory directory{
            m_loop, store, "me", "10.0.0.9:7001", 1.0, [&](std::vector<std::string> addresses) {
                relays = addresses;
                transport.setPeers(std::move(addresses));
            }};
        directory.start();
        CPPUNIT_ASSERT(runUntil(
            m_loop, [&] { return !relays.empty(); }, milliseconds{1000}));
        m_loop.restart();
        m_loop.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relays.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.8:7001"}, relays.front());
    }

    /** A VM that is not listed counts as gone, and a wave as completed without it. */
    void oddEntryOfTheVmListHidesNoOther()
    {
        const vm_listing listing = readList(
            R"({"Machine":"m1","Pool":"p","State":"up","Id":"i1","FreeCapacity":{"Cpu":64000}},)"
            R"({"Machine":"m2","Pool":)"
            + nested(20)
            + R"(,"State":"up"},)"
              R"({"Machine":"m3","Pool":"p","State":"asleep","FreeCapacity":{"Cpu":1e300}},)"
              R"({"Machine":"m4","Pool":"p","State":7,"Id":99999999999999999999})");
        CPPUNIT_ASSERT(listing.ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, listing.vms.size());
        CPPUNIT_ASSERT(listing.vms.front().state == vm_state::up);
        for (std::size_t index = 1; index < listing.vms.size(); ++index)
            CPPUNIT_ASSERT(listing.vms[index].state == vm_state::down);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, listing.vms[2].capacity.cpu);
    }

    void vmListWithAnEntryWithoutANameIsNotWhole()
    {
        CPPUNIT_ASSERT(!readList(R"({"Pool":"p","State":"up"})").ok);
        CPPUNIT_ASSERT(!readList(R"({"Machine":7,"Pool":"p","State":"up"})").ok);
        CPPUNIT_ASSERT(!readList(nested(100'000)).ok);
    }

    /** A refused order takes its VM out of the wave, which is then completed without it. */
    void onlyAClearRefusalRefusesAnOrder()
    {
        CPPUNIT_ASSERT(maintain(409, R"({"Reason":"wave"})") == vm_order_outcome::refused);
        CPPUNIT_ASSERT(maintain(400, "{}") == vm_order_outcome::refused);
        CPPUNIT_ASSERT(maintain(409, R"({"Reason":"busy"})") == vm_order_outcome::busy);
        CPPUNIT_ASSERT(maintain(409, "not JSON") == vm_order_outcome::busy);
        CPPUNIT_ASSERT(maintain(500, "{}") == vm_order_outcome::unknown);
        CPPUNIT_ASSERT(maintain(404, "{}") == vm_order_outcome::unknown);
    }

private:
    /** Reads the VM list from a platform that answers with the rows. */
    [[nodiscard]] vm_listing readList(const std::string &rows)
    {
        const reserved_port port;
        const fixed_platform platform{m_loop, port.text(), 200,
                                      R"({"Machines":[)" + rows + R"(],"NextToken":""})"};
        vm_client client{m_loop, port.text(), "vm"};
        std::optional<vm_listing> listing;
        client.list([&listing](vm_listing &&read) { listing = std::move(read); });
        CPPUNIT_ASSERT(runUntil(m_loop, [&listing] { return listing.has_value(); }));
        return std::move(*listing);
    }

    /** Returns the outcome of an order for maintenance that the platform answers in this way. */
    [[nodiscard]] vm_order_outcome maintain(unsigned status, const std::string &body)
    {
        const reserved_port port;
        const fixed_platform platform{m_loop, port.text(), status, body};
        vm_client client{m_loop, port.text(), "vm"};
        std::optional<vm_order_outcome> outcome;
        client.maintain("m1", 1, {}, [&outcome](vm_order_outcome answered) { outcome = answered; });
        CPPUNIT_ASSERT(runUntil(m_loop, [&outcome] { return outcome.has_value(); }));
        return *outcome;
    }

    [[nodiscard]] static std::vector<std::string> oddEntries()
    {
        constexpr std::size_t greatDepth{100'000};
        return {nested(greatDepth),
                std::string(greatDepth, '['),
                replaced("5", nested(greatDepth)),
                replaced("16000", "1e99999999999"),
                replaced("16000", "1e300"),
                replaced("16000", "99999999999999999999"),
                replaced("16000", "1000000001"),
                replaced("16000", "-1"),
                replaced("16000", "0.5"),
                replaced("16000", "\"16000\""),
                replaced("\"born\":5", "\"born\":1e300"),
                replaced("\"born\":5", "\"born\":99999999999999999999"),
                replaced("\"born\":5", "\"born\":\"5\""),
                replaced("\"born\":5", "\"born\":-5"),
                replaced("10.1.0.9:80", "10.1.0.9:65536"),
                replaced("10.1.0.9:80", "10.1.0.9:99999999999999999999"),
                replaced("10.1.0.9:80", "10.1.0.9:0"),
                replaced("10.1.0.9:80", "10.1.0.9:-1"),
                replaced("10.1.0.9:80", "10.1.0.9"),
                replaced("\"ready\"", "\"asleep\""),
                replaced("\"ready\"", "7"),
                replaced("\"m\"", '"' + std::string(2000, 'm') + '"'),
                replaced("\"p1\"", "\"p1\xff\""),
                "\xff\xfe",
                ""};
    }

    asio::io_context m_loop{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

} // namespace
