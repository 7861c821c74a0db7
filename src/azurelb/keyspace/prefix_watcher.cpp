#include <azurelb/core/call_after.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/keyspace/prefix_watcher.hpp>
#include <azurelb/log/log.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Delays before a failed call is repeated; the delay doubles with each consecutive failure. */
constexpr milliseconds baseRetryDelay{40};
constexpr milliseconds maxRetryDelay{640};
constexpr unsigned maxDoublings{4};

} // namespace

prefix_watcher::prefix_watcher(boost::asio::io_context &loop, keyspace &with, std::string prefix,
                               milliseconds watchTimeout, item_handler onItem,
                               synced_handler onSynced)
    : m_keyspace{with}
    , m_prefix{std::move(prefix)}
    , m_watchTimeout{watchTimeout}
    , m_onItem{std::move(onItem)}
    , m_onSynced{std::move(onSynced)}
    , m_timer{loop}
{ }

prefix_watcher::~prefix_watcher() = default;

void prefix_watcher::start()
{
    readAll();
}

store_revision prefix_watcher::revisionOf(const std::string &key) const noexcept
{
    const auto found = m_revisions.find(key);
    return found == m_revisions.end() ? 0 : found->second;
}

void prefix_watcher::readAll()
{
    m_listedKeys.clear();
    m_firstPageRevision = 0;
    m_readBegunAt = boot_clock::now();
    readPage({});
}

void prefix_watcher::readPage(const std::string &after)
{
    m_requestSentAt = boot_clock::now();
    const std::weak_ptr<bool> alive{m_alive};
    m_keyspace.range(m_prefix, after, [this, alive](keyspace_range &&page) {
        if (!alive.expired())
            handlePage(std::move(page));
    });
}

void prefix_watcher::handlePage(keyspace_range &&page)
{
    if (page.error != keyspace_error::none) {
        retry(page.error, &prefix_watcher::readAll);
        return;
    }
    m_state.answeredAt = boot_clock::now();
    // Pages do not form a snapshot, so the watch starts at the revision of the first page.
    if (m_firstPageRevision == 0)
        m_firstPageRevision = page.revision;
    const std::weak_ptr<bool> alive{m_alive};
    for (const keyspace_item &each : page.items) {
        m_listedKeys.insert(each.key);
        deliver(each);
        if (alive.expired())
            return;
    }
    if (page.more && !page.items.empty())
        readPage(page.items.back().key);
    else
        finishRead();
}

void prefix_watcher::finishRead()
{
    std::vector<std::string> removed;
    for (const auto &[key, revision] : m_revisions) {
        if (!m_listedKeys.contains(key) && revision <= m_firstPageRevision)
            removed.push_back(key);
    }
    const std::weak_ptr<bool> alive{m_alive};
    for (const std::string &key : removed) {
        deliver({key, {}, m_firstPageRevision + 1, true});
        if (alive.expired())
            return;
    }
    m_listedKeys.clear();
    m_watchedRevision = m_firstPageRevision;
    // Changes made while later pages were read are only known once the watch has reported them.
    m_state = {m_readBegunAt, std::nullopt, m_state.answeredAt};
    m_failures = 0;
    const bool first = !std::exchange(m_synced, true);
    if (first && m_onSynced)
        m_onSynced();
    if (!alive.expired())
        watch();
}

void prefix_watcher::watch()
{
    m_requestSentAt = boot_clock::now();
    const std::weak_ptr<bool> alive{m_alive};
    m_keyspace.watch(m_prefix, m_watchedRevision, m_watchTimeout,
                     [this, alive](keyspace_changes &&changes) {
                         if (!alive.expired())
                             handleChanges(std::move(changes));
                     });
}

void prefix_watcher::handleChanges(keyspace_changes &&changes)
{
    if (changes.error == keyspace_error::missing) {
        readAll();
        return;
    }
    if (changes.error != keyspace_error::none) {
        retry(changes.error, &prefix_watcher::watch);
        return;
    }
    m_state.answeredAt = boot_clock::now();
    if (std::exchange(m_failures, 0) > 1)
        logEvent(event::follower_restored, {{"prefix", m_prefix}});
    const std::weak_ptr<bool> alive{m_alive};
    for (const keyspace_item &each : changes.items) {
        deliver(each);
        if (alive.expired())
            return;
    }
    m_watchedRevision = std::max(m_watchedRevision, changes.revision);
    m_state = {m_requestSentAt, std::nullopt, m_state.answeredAt};
    watch();
}

void prefix_watcher::deliver(const keyspace_item &item)
{
    store_revision &known = m_revisions[item.key];
    if (item.revision <= known)
        return;
    known = item.revision;
    if (item.removed)
        m_revisions.erase(item.key);
    m_onItem(item);
}

void prefix_watcher::retry(keyspace_error error, void (prefix_watcher::*next)())
{
    m_state.failedAt = m_requestSentAt;
    if (++m_failures == 2)
        logEvent(event::follower_failing, {{"prefix", m_prefix}, {"error", toString(error)}});
    const milliseconds pause =
        std::min(baseRetryDelay * (1U << std::min(m_failures, maxDoublings)), maxRetryDelay);
    callAfter(m_timer, pause, m_alive, [this, next] { (this->*next)(); });
}

} // namespace azurelb
