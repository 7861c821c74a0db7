#include <azurelb/core/call_after.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/keyspace/prefix_reader.hpp>

#include <chrono>
#include <utility>

namespace azurelb {

namespace {

/** Delay before a failed read is repeated. */
constexpr std::chrono::milliseconds retryDelay{120};

} // namespace

prefix_reader::prefix_reader(boost::asio::io_context &loop, keyspace &from, std::string prefix,
                             item_handler onItem, done_handler onDone)
    : m_keyspace{from}
    , m_prefix{std::move(prefix)}
    , m_onItem{std::move(onItem)}
    , m_onDone{std::move(onDone)}
    , m_timer{loop}
{ }

void prefix_reader::readPage(const std::string &after)
{
    m_keyspace.range(
        m_prefix, after, [this, after, alive = std::weak_ptr<bool>{m_alive}](auto &&page) {
            if (alive.expired())
                return;
            if (page.error != keyspace_error::none) {
                callAfter(m_timer, retryDelay, m_alive, [this, after] { readPage(after); });
                return;
            }
            for (const keyspace_item &each : page.items)
                m_onItem(each);
            if (page.more && !page.items.empty())
                readPage(page.items.back().key);
            else
                m_onDone();
        });
}

} // namespace azurelb
