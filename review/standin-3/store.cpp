#include "store.hpp"

#include <algorithm>
#include <utility>

namespace review {

namespace {

constexpr std::size_t maxPageItems{500};
constexpr std::size_t maxPageBytes{1'000'000};
constexpr std::size_t maxEntries{32};
constexpr std::size_t maxValueBytes{1'048'576};
constexpr milliseconds answerTime{4};
constexpr milliseconds watchInterval{5};

std::string encodeBase64(const std::string &text)
{
    std::string out(beast::detail::base64::encoded_size(text.size()), '\0');
    out.resize(beast::detail::base64::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string decodeBase64(const std::string &text)
{
    std::string out(beast::detail::base64::decoded_size(text.size()), '\0');
    out.resize(beast::detail::base64::decode(out.data(), text.data(), text.size()).first);
    return out;
}

std::int64_t numberOf(const json::object &in, std::string_view name)
{
    const json::value *const found = in.if_contains(name);
    return found && found->is_number() ? found->to_number<std::int64_t>() : 0;
}

} // namespace

store::store(asio::io_context &loop)
    : m_loop{loop}
    , m_server{loop, [this](const request &message) {
                   return serve(message);
               }}
{
    asio::co_spawn(loop, expireLeases(), asio::detached);
}

void store::put(const std::string &key, const json::value &value)
{
    set(key, encodeBase64(json::serialize(value)), 0, ++m_revision);
}

void store::remove(const std::string &key)
{
    erase(key, ++m_revision);
}

std::string store::value(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string{} : decodeBase64(found->second.value);
}

std::size_t store::count(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), [&](auto &each) {
        return each.first.starts_with(prefix);
    }));
}

void store::set(const std::string &key, std::string value, std::int64_t lease,
                std::int64_t revision)
{
    item &to = m_items[key];
    if (to.created == 0)
        to.created = revision;
    to.value = std::move(value);
    to.revision = revision;
    to.lease = lease;
    m_events.push_back({revision, key, to, false});
}

void store::erase(const std::string &key, std::int64_t revision)
{
    if (m_items.erase(key) != 0)
        m_events.push_back({revision, key, {}, true});
}

void store::endLease(std::int64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, each] : m_items) {
        if (each.lease == id)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    for (const std::string &each : keys)
        erase(each, m_revision);
}

asio::awaitable<void> store::expireLeases()
{
    while (true) {
        co_await sleepFor(milliseconds{10});
        std::vector<std::int64_t> ended;
        for (const auto &[id, each] : m_leases) {
            if (steadyNow() >= each.ends)
                ended.push_back(id);
        }
        for (const std::int64_t each : ended)
            endLease(each);
    }
}

json::object store::describe(const std::string &key, const item &each) const
{
    return {{"Key", key},
            {"Value", each.value},
            {"Revision", each.revision},
            {"Created", each.created},
            {"Lease", each.lease}};
}

response store::range(std::string_view target) const
{
    const std::string prefix = queryField(target, "Prefix");
    const std::string after = queryField(target, "After");
    json::array items;
    std::size_t bytes = 0;
    bool more = false;
    for (auto each = m_items.upper_bound(after); each != m_items.end(); ++each) {
        if (!each->first.starts_with(prefix))
            continue;
        if (items.size() >= maxPageItems || bytes >= maxPageBytes) {
            more = true;
            break;
        }
        bytes += each->second.value.size();
        items.push_back(describe(each->first, each->second));
    }
    return reply(
        200,
        json::object{{"items", std::move(items)}, {"HasMore", more}, {"CurrentRev", m_revision}});
}

asio::awaitable<response> store::watch(std::string target)
{
    const std::string prefix = queryField(target, "Prefix");
    const std::int64_t after = std::stoll(queryField(target, "After"));
    const milliseconds ends = steadyNow() + milliseconds{std::stoll(queryField(target, "WaitMs"))};
    while (true) {
        json::array events;
        const auto first = std::lower_bound(
            m_events.begin(), m_events.end(), after + 1,
            [](const event &each, std::int64_t value) { return each.revision < value; });
        for (auto each = first; each != m_events.end(); ++each) {
            if (!each->key.starts_with(prefix))
                continue;
            if (each->deleted)
                events.push_back(json::object{
                    {"Key", each->key}, {"Revision", each->revision}, {"Deleted", true}});
            else
                events.push_back(describe(each->key, each->state));
        }
        if (!events.empty() || steadyNow() >= ends)
            co_return reply(
                200, json::object{{"events", std::move(events)}, {"CurrentRev", m_revision}});
        co_await sleepFor(watchInterval);
    }
}

response store::transact(const json::object &in)
{
    static const json::array none;
    const auto list = [&in](std::string_view name) -> const json::array & {
        const json::value *const found = in.if_contains(name);
        return found && found->is_array() ? found->get_array() : none;
    };
    const json::array &expected = list("ExpectedRev");
    const json::array &puts = list("Puts");
    const json::array &removals = list("Remove");
    if (expected.size() + puts.size() + removals.size() > maxEntries)
        return reply(400, json::object{});
    bool holds = true;
    json::array current;
    for (const json::value &each : expected) {
        const json::object &row = each.as_object();
        const std::string key{row.at("Key").as_string()};
        const auto found = m_items.find(key);
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == numberOf(row, "Revision");
        if (found != m_items.end())
            current.push_back(describe(key, found->second));
    }
    if (!holds)
        return reply(412, json::object{{"items", std::move(current)}});
    for (const json::value &each : puts) {
        const json::object &row = each.as_object();
        const std::int64_t lease = numberOf(row, "Lease");
        if (lease != 0 && !m_leases.contains(lease))
            return reply(404, json::object{});
        const std::size_t bytes = decodeBase64(std::string{row.at("Value").as_string()}).size();
        if (bytes > maxValueBytes) {
            ++m_tooLarge;
            m_largestRefused = std::max(m_largestRefused, bytes);
            return reply(400, json::object{});
        }
    }
    ++m_revision;
    for (const json::value &each : puts) {
        const json::object &row = each.as_object();
        set(std::string{row.at("Key").as_string()}, std::string{row.at("Value").as_string()},
            numberOf(row, "Lease"), m_revision);
    }
    for (const json::value &each : removals)
        erase(std::string{each.as_string()}, m_revision);
    return reply(200, json::object{{"Revision", m_revision}});
}

asio::awaitable<response> store::serve(const request &message)
{
    const std::string target{message.target()};
    const std::string path = target.substr(0, target.find('?'));
    const std::string last = path.substr(path.rfind('/') + 1);
    boost::system::error_code failure;
    json::value parsed = json::parse(message.body(), failure);
    const json::object body = !failure && parsed.is_object() ? parsed.get_object() : json::object{};
    if (path == "/azurelb/kv-watch")
        co_return co_await watch(target);
    co_await sleepFor(answerTime);
    if (path == "/azurelb/kv-key") {
        const std::string key = queryField(target, "Key");
        const auto found = m_items.find(key);
        if (found == m_items.end())
            co_return reply(404, json::object{{"CurrentRev", m_revision}});
        json::object out = describe(key, found->second);
        out["CurrentRev"] = m_revision;
        co_return reply(200, out);
    }
    if (path == "/azurelb/kv-range")
        co_return range(target);
    if (path == "/azurelb/kv-txn")
        co_return transact(body);
    if (path == "/azurelb/kv-lease") {
        const milliseconds term{std::max<std::int64_t>(numberOf(body, "TtlMs"), 1000)};
        m_leases[++m_lastLease] = {term, steadyNow() + term};
        co_return reply(200, json::object{{"Lease", m_lastLease}, {"TtlMs", term.count()}});
    }
    const std::int64_t id = std::atoll(last.c_str());
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        co_return reply(404, json::object{});
    if (path.starts_with("/azurelb/kv-keep/")) {
        found->second.ends = steadyNow() + found->second.term;
        co_return reply(200, json::object{{"Lease", id}, {"TtlMs", found->second.term.count()}});
    }
    endLease(id);
    co_return reply(200, json::object{});
}

} // namespace review
