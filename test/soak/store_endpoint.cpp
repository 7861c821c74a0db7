#include "store_endpoint.hpp"

#include <azurelb/core/await_callback.hpp>
#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/problem_response.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <platform/base64.hpp>
#include <platform/json_fields.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <vector>

namespace azurelb::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t pageItems{500};
/** Longer than every request timeout of the daemons, so that the reply counts as lost. */
constexpr milliseconds lostReplyDelay{5000};

std::string parameter(const std::string &target, const std::string &name)
{
    for (const char before : {'?', '&'}) {
        const std::size_t found = target.find(before + name + '=');
        if (found == std::string::npos)
            continue;
        const std::size_t begin = found + name.size() + 2;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    return {};
}

std::int64_t parseInteger(const std::string &text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::int64_t lastSegment(const std::string &target)
{
    return parseInteger(target.substr(target.rfind('/') + 1));
}

json::object encodeItem(const keyspace_item &item)
{
    json::object out{{"Key", item.key}, {"Revision", item.revision}};
    if (item.removed)
        out["Deleted"] = true;
    else
        out["Value"] = platform::encodeBase64(item.value);
    return out;
}

json::array encodeItems(const std::vector<keyspace_item> &items)
{
    json::array out;
    for (const keyspace_item &each : items)
        out.push_back(encodeItem(each));
    return out;
}

http_response reply(http::status status, const json::object &body)
{
    return jsonResponse(status, json::serialize(body));
}

keyspace_operations decodeWrite(const json::object &in)
{
    keyspace_operations write;
    for (const json::value &each : in.at("ExpectedRev").as_array())
        write.conditions.push_back({std::string{each.at("Key").as_string()},
                                    each.at("Revision").to_number<store_revision>()});
    for (const json::value &each : in.at("Puts").as_array()) {
        const json::object &put = each.as_object();
        write.puts.push_back(
            {std::string{put.at("Key").as_string()},
             platform::decodeBase64(std::string{put.at("Value").as_string()}).value_or(""),
             platform::integerOf(put, "Lease").value_or(0)});
    }
    for (const json::value &each : in.at("Remove").as_array())
        write.removals.emplace_back(each.as_string());
    return write;
}

} // namespace

store_endpoint::store_endpoint(asio::io_context &loop, vm_list_source vms,
                               maintenance_handler maintain)
    : m_loop{loop}
    , m_vms{std::move(vms)}
    , m_maintain{std::move(maintain)}
    , m_state{loop}
    , m_server{loop, "127.0.0.1:0", {}, [this](const http_request &request) {
                   return serve(request);
               }}
{
    m_state.pageSize = pageItems;
    m_server.start();
}

void store_endpoint::expireLeases(boot_time now)
{
    std::vector<store_lease_id> expired;
    for (const auto &[lease, end] : m_leaseEnds) {
        if (end <= now && !m_faults.down)
            expired.push_back(lease);
    }
    for (const store_lease_id lease : expired) {
        m_leaseEnds.erase(lease);
        m_state.endLease(lease);
    }
}

store_endpoint::answer store_endpoint::sleepFor(milliseconds time)
{
    asio::steady_timer timer{m_loop, time};
    co_await timer.async_wait(asio::use_awaitable);
    co_return http_response{};
}

store_endpoint::answer store_endpoint::serve(const http_request &request)
{
    const std::string target{request.target().data(), request.target().size()};
    if (target.starts_with("/azurelb/machines"))
        co_return jsonResponse(http::status::ok, m_vms());
    if (target.starts_with("/azurelb/machine-upkeep"))
        co_return maintain(request.body());
    if (m_faults.delay.count() > 0)
        (void)co_await sleepFor(m_faults.delay);
    if (m_faults.down)
        co_return reply(http::status::service_unavailable, {});
    if (target.starts_with("/azurelb/kv-watch"))
        co_return co_await watch(target);
    if (target.starts_with("/azurelb/kv-txn"))
        co_return co_await commit(request.body());
    if (target.starts_with("/azurelb/kv-lease-end/")) {
        m_leaseEnds.erase(lastSegment(target));
        m_state.endLease(lastSegment(target));
        co_return reply(http::status::ok, {});
    }
    if (target.starts_with("/azurelb/kv-lease"))
        co_return co_await grant(request.body());
    if (target.starts_with("/azurelb/kv-keep/"))
        co_return co_await renew(target);
    if (target.starts_with("/azurelb/kv-"))
        co_return co_await read(target);
    co_return reply(http::status::conflict, {{"Reason", "busy"}});
}

http_response store_endpoint::maintain(const std::string &body)
{
    const auto in = platform::parseObject(body);
    if (!in)
        return reply(http::status::bad_request, {});
    const bool begun = m_maintain(platform::textOf(*in, "Machine").value_or(""),
                                  platform::integerOf(*in, "Wave").value_or(0));
    return begun ? reply(http::status::ok, {})
                 : reply(http::status::conflict, {{"Reason", "busy"}});
}

store_endpoint::answer store_endpoint::read(const std::string &target)
{
    const bool single = target.starts_with("/azurelb/kv-key");
    const auto found = co_await awaitCallback<keyspace_range>(m_loop, [&](auto done) {
        if (single)
            m_state.get(parameter(target, "Key"), std::move(done));
        else
            m_state.range(parameter(target, "Prefix"), parameter(target, "After"), std::move(done));
    });
    if (!found || found->error != keyspace_error::none)
        co_return reply(http::status::not_found, {});
    json::object body{{"items", encodeItems(found->items)}, {"HasMore", found->more}};
    if (single)
        body = encodeItem(found->items.front());
    body["CurrentRev"] = found->revision;
    co_return reply(http::status::ok, body);
}

store_endpoint::answer store_endpoint::watch(const std::string &target)
{
    const store_revision after = parseInteger(parameter(target, "After"));
    const milliseconds wait{parseInteger(parameter(target, "WaitMs"))};
    auto timer = std::make_shared<asio::steady_timer>(m_loop, wait);
    auto found = std::make_shared<std::optional<keyspace_changes>>();
    m_state.watch(parameter(target, "Prefix"), after, wait,
                  [timer, found](keyspace_changes &&changes) {
                      *found = std::move(changes);
                      timer->cancel();
                  });
    boost::system::error_code ended;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ended));
    if (!*found)
        co_return reply(http::status::ok, {{"events", json::array{}}, {"CurrentRev", after}});
    if ((*found)->error != keyspace_error::none)
        co_return reply(http::status::gone, {});
    co_return reply(http::status::ok,
                    {{"events", encodeItems((*found)->items)}, {"CurrentRev", (*found)->revision}});
}

store_endpoint::answer store_endpoint::commit(const std::string &body)
{
    const auto in = platform::parseObject(body);
    if (!in)
        co_return reply(http::status::bad_request, {});
    const keyspace_operations write = decodeWrite(*in);
    ++m_commits;
    if (isExecutedLate(write)) {
        asio::co_spawn(m_loop, executeLater(write), asio::detached);
        co_return co_await sleepFor(lostReplyDelay);
    }
    const auto outcome = co_await awaitCallback<keyspace_commit>(
        m_loop, [&](auto done) { m_state.execute(write, std::move(done)); });
    if (m_commits % 10 < m_faults.lostRepliesPerTen)
        (void)co_await sleepFor(lostReplyDelay);
    if (outcome && outcome->error == keyspace_error::conflict)
        co_return reply(http::status::precondition_failed,
                        {{"items", encodeItems(outcome->current)}});
    if (!outcome || outcome->error != keyspace_error::none)
        co_return reply(http::status::not_found, {});
    co_return reply(http::status::ok, {{"Revision", outcome->revision}});
}

bool store_endpoint::isExecutedLate(const keyspace_operations &write)
{
    const auto matches = [this](const std::string &key) {
        return key.starts_with(m_faults.lateKeyPrefix);
    };
    const bool isAffected = std::any_of(write.removals.begin(), write.removals.end(), matches)
        || std::any_of(write.puts.begin(), write.puts.end(),
                       [&matches](const keyspace_put &each) { return matches(each.key); });
    return isAffected
        && std::uniform_int_distribution<unsigned>{0, 9}(m_random) < m_faults.lateCommitsPerTen;
}

/** As the platform's store: a call without a response "may be executed seconds later if its
    condition still holds". */
asio::awaitable<void> store_endpoint::executeLater(keyspace_operations write)
{
    const milliseconds delay{std::uniform_int_distribution<int>{1000, 6000}(m_random)};
    (void)co_await sleepFor(delay);
    m_state.execute(write, [](keyspace_commit &&) {});
}

store_endpoint::answer store_endpoint::grant(const std::string &body)
{
    const auto in = platform::parseObject(body);
    const milliseconds term{in ? platform::integerOf(*in, "TtlMs").value_or(0) : 0};
    const auto lease = co_await awaitCallback<keyspace_lease>(
        m_loop, [&](auto done) { m_state.grant(term, std::move(done)); });
    if (!lease || term.count() <= 0)
        co_return reply(http::status::bad_request, {});
    m_leaseTerms[lease->lease] = term;
    m_leaseEnds[lease->lease] = boot_clock::now() + term;
    co_return reply(http::status::ok, {{"Lease", lease->lease}, {"TtlMs", term.count()}});
}

store_endpoint::answer store_endpoint::renew(const std::string &target)
{
    const store_lease_id lease = lastSegment(target);
    const auto found = m_leaseEnds.find(lease);
    if (found == m_leaseEnds.end())
        co_return reply(http::status::not_found, {});
    found->second = boot_clock::now() + m_leaseTerms[lease];
    co_return reply(http::status::ok, {{"Lease", lease}, {"TtlMs", m_leaseTerms[lease].count()}});
}

} // namespace azurelb::soak
