#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/keyspace/keyspace_item.hpp>
#include <azurelb/keyspace/keyspace_replies.hpp>

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
 * Follows the keys with one prefix: reads them all, then watches for changes, and reads them anew
 * when the store has dropped that history. Of each key the handler sees revisions that only rise.
 */
class prefix_follower
{
public:
    using item_handler = std::function<void(const keyspace_item &)>;
    using synced_handler = std::function<void()>;

    /** The wait is the longest of one watch call. */
    prefix_follower(boost::asio::io_context &loop, keyspace &from, std::string prefix,
                    std::chrono::milliseconds wait, item_handler onItem,
                    synced_handler onSynced = {});
    prefix_follower(const prefix_follower &) = delete;
    prefix_follower &operator=(const prefix_follower &) = delete;
    ~prefix_follower();

    void start();

    /** Whether all keys have been read once. */
    [[nodiscard]] bool synced() const noexcept { return m_synced; }

    /** When the store last confirmed that nothing has been missed. */
    [[nodiscard]] boot_time confirmedAt() const noexcept { return m_confirmedAt; }

private:
    void readPage(const std::string &after);
    void takePage(keyspace_range &&page);
    void finishRead();
    void watch();
    void takeChanges(keyspace_changes &&changes);
    void deliver(const keyspace_item &item);
    void retry(keyspace_error error, void (prefix_follower::*next)());
    void readAll();

    keyspace &m_from;
    std::string m_prefix;
    std::chrono::milliseconds m_wait;
    item_handler m_onItem;
    synced_handler m_onSynced;
    boost::asio::steady_timer m_timer;
    /** Handlers of calls under way hold it weakly. */
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
    std::unordered_map<std::string, store_revision> m_revisions{};
    std::unordered_set<std::string> m_seen{};
    store_revision m_readRevision{0};
    store_revision m_revision{0};
    boot_time m_askedAt{};
    boot_time m_confirmedAt{};
    unsigned m_failures{0};
    bool m_synced{false};
};

} // namespace azurelb
