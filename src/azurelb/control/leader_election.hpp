#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/keyspace/prefix_watcher.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace azurelb {

/**
 * Takes the owner's key under a lease when it is free and renews the lease. The revision at which
 * the key was taken is the fencing token. An owner whose lease cannot be renewed goes on, within
 * the bound that its scheduler keeps, until it learns that the key is lost.
 */
class leader_election
{
public:
    using elected_handler = std::function<void(store_revision token)>;
    using lost_handler = std::function<void()>;

    /** The delay lets better placed candidates take a free key first. */
    leader_election(boost::asio::io_context &loop, keyspace &with, std::string candidate,
                    std::chrono::milliseconds term, std::chrono::milliseconds delay,
                    elected_handler onElected, lost_handler onLost);

    void start();

    /** Stands no more. */
    void withdraw() noexcept { m_withdrawn = true; }

    /** Gives the key back, if held, and stands no more. */
    void resign(std::function<void()> done);

    /** The key is known to be lost. */
    void stepDown(std::string_view reason);

    [[nodiscard]] bool isElected() const noexcept { return m_token != 0; }

    /** When the last confirmed renewal was sent. */
    [[nodiscard]] boot_time confirmedAt() const noexcept { return m_confirmedAt; }

private:
    void handleKeyChange(const keyspace_item &item);
    void scheduleCampaign();
    void campaign();
    void acquireKey();
    void handleAcquisition(keyspace_commit &&outcome);
    void scheduleRenewal();
    void renewLease();
    void handleRenewal(const keyspace_lease &outcome, boot_time sentAt);
    void becomeOwner(store_revision token);

    keyspace &m_keyspace;
    std::string m_candidate;
    std::chrono::milliseconds m_term;
    std::chrono::milliseconds m_campaignDelay;
    elected_handler m_onElected;
    lost_handler m_onLost;
    boost::asio::steady_timer m_timer;
    prefix_watcher m_keyWatcher;
    /** Value that tells this process's claim from those of earlier lives of the VM. */
    std::string m_claimValue;
    store_lease_id m_lease{0};
    store_revision m_token{0};
    boot_time m_grantSentAt{};
    boot_time m_confirmedAt{};
    /** Revision of the key as last seen; 0 if it is free. */
    store_revision m_keyRevision{0};
    bool m_keyFree{false};
    bool m_campaigning{false};
    bool m_withdrawn{false};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
