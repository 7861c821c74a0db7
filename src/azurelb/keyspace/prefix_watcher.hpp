#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/keyspace/keyspace_item.hpp>
#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/read_state.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace azurelb {

/**
 * Tracks all keys with one prefix: reads them, then watches for changes, and reads them again when
 * the store no longer has the history of changes. The revisions reported for a key only increase.
 */
class prefix_watcher
{
public:
    using item_handler = std::function<void(const keyspace_item &)>;
    using synced_handler = std::function<void()>;

    /** @param watchTimeout  longest duration of one watch call */
    prefix_watcher(boost::asio::io_context &loop, keyspace &with, std::string prefix,
                   std::chrono::milliseconds watchTimeout, item_handler onItem,
                   synced_handler onSynced = {});
    prefix_watcher(const prefix_watcher &) = delete;
    prefix_watcher &operator=(const prefix_watcher &) = delete;
    ~prefix_watcher();

    void start();

    /** Whether all keys have been read once. */
    [[nodiscard]] bool isSynced() const noexcept { return m_synced; }

    /** Returns the revision of a key's last reported change; 0 if the key does not exist. */
    [[nodiscard]] store_revision revisionOf(const std::string &key) const noexcept;

    [[nodiscard]] const read_state &state() const noexcept { return m_state; }

private:
    void readPage(const std::string &after);
    void handlePage(keyspace_range &&page);
    void finishRead();
    void watch();
    void handleChanges(keyspace_changes &&changes);
    void deliver(const keyspace_item &item);
    void retry(keyspace_error error, void (prefix_watcher::*next)());
    void readAll();

    keyspace &m_keyspace;
    std::string m_prefix;
    std::chrono::milliseconds m_watchTimeout;
    item_handler m_onItem;
    synced_handler m_onSynced;
    boost::asio::steady_timer m_timer;
    /** Pending handlers hold weak references to it to detect destruction of the watcher. */
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
    std::unordered_map<std::string, store_revision> m_revisions{};
    std::unordered_set<std::string> m_listedKeys{};
    store_revision m_firstPageRevision{0};
    store_revision m_watchedRevision{0};
    boot_time m_requestSentAt{};
    /** Send time of the first page of a read in progress. */
    boot_time m_readBegunAt{};
    read_state m_state{};
    unsigned m_failures{0};
    bool m_synced{false};
};

} // namespace azurelb
