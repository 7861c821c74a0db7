#include <azurelb/core/call_after.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/keyspace/prefix_follower.hpp>
#include <azurelb/log/log.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** First pause after a failed call, and the longest; it doubles with each failure in a row. */
constexpr milliseconds firstPause{40};
constexpr milliseconds longestPause{640};
constexpr unsigned mostDoublings{4};

} // namespace

prefix_follower::prefix_follower(boost::asio::io_context &loop, keyspace &from, std::string prefix,
                                 milliseconds wait, item_handler onItem, synced_handler onSynced)
    : m_from{from}
    , m_prefix{std::move(prefix)}
    , m_wait{wait}
    , m_onItem{std::move(onItem)}
    , m_onSynced{std::move(onSynced)}
    , m_timer{loop}
{ }

prefix_follower::~prefix_follower() = default;

void prefix_follower::start()
{
    readAll();
}

void prefix_follower::readAll()
{
    m_seen.clear();
    m_readRevision = 0;
    readPage({});
}

void prefix_follower::readPage(const std::string &after)
{
    m_askedAt = boot_clock::now();
    const std::weak_ptr<bool> alive{m_alive};
    m_from.range(m_prefix, after, [this, alive](keyspace_range &&page) {
        if (!alive.expired())
            takePage(std::move(page));
    });
}

void prefix_follower::takePage(keyspace_range &&page)
{
    if (page.error != keyspace_error::none) {
        retry(page.error, &prefix_follower::readAll);
        return;
    }
    // Pages are no snapshot: what changes meanwhile is watched for from the first page on.
    if (m_readRevision == 0)
        m_readRevision = page.revision;
    const std::weak_ptr<bool> alive{m_alive};
    for (const keyspace_item &each : page.items) {
        m_seen.insert(each.key);
        deliver(each);
        if (alive.expired())
            return;
    }
    if (page.more && !page.items.empty())
        readPage(page.items.back().key);
    else
        finishRead();
}

void prefix_follower::finishRead()
{
    std::vector<std::string> removed;
    for (const auto &[key, revision] : m_revisions) {
        if (!m_seen.contains(key) && revision <= m_readRevision)
            removed.push_back(key);
    }
    const std::weak_ptr<bool> alive{m_alive};
    for (const std::string &key : removed) {
        deliver({key, {}, m_readRevision + 1, true});
        if (alive.expired())
            return;
    }
    m_seen.clear();
    m_revision = m_readRevision;
    m_confirmedAt = m_askedAt;
    m_failures = 0;
    const bool first = !std::exchange(m_synced, true);
    if (first && m_onSynced)
        m_onSynced();
    if (!alive.expired())
        watch();
}

void prefix_follower::watch()
{
    m_askedAt = boot_clock::now();
    const std::weak_ptr<bool> alive{m_alive};
    m_from.watch(m_prefix, m_revision, m_wait, [this, alive](keyspace_changes &&changes) {
        if (!alive.expired())
            takeChanges(std::move(changes));
    });
}

void prefix_follower::takeChanges(keyspace_changes &&changes)
{
    if (changes.error == keyspace_error::missing) {
        readAll();
        return;
    }
    if (changes.error != keyspace_error::none) {
        retry(changes.error, &prefix_follower::watch);
        return;
    }
    if (std::exchange(m_failures, 0) > 1)
        logEvent(event::follower_restored, {{"prefix", m_prefix}});
    const std::weak_ptr<bool> alive{m_alive};
    for (const keyspace_item &each : changes.items) {
        deliver(each);
        if (alive.expired())
            return;
    }
    m_revision = std::max(m_revision, changes.revision);
    m_confirmedAt = m_askedAt;
    watch();
}

void prefix_follower::deliver(const keyspace_item &item)
{
    store_revision &known = m_revisions[item.key];
    if (item.revision <= known)
        return;
    known = item.revision;
    if (item.removed)
        m_revisions.erase(item.key);
    m_onItem(item);
}

void prefix_follower::retry(keyspace_error error, void (prefix_follower::*next)())
{
    if (++m_failures == 2)
        logEvent(event::follower_failing, {{"prefix", m_prefix}, {"error", toString(error)}});
    const milliseconds pause =
        std::min(firstPause * (1U << std::min(m_failures, mostDoublings)), longestPause);
    callAfter(m_timer, pause, m_alive, [this, next] { (this->*next)(); });
}

} // namespace azurelb
