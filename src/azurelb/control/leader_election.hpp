#pragma once

#include <azurelb/core/boot_clock.hpp>
#include <azurelb/keyspace/fwd.hpp>
#include <azurelb/keyspace/prefix_watcher.hpp>
#include <azurelb/keyspace/read_state.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace azurelb {

/**
 * Leader election on the store: creates the owner's key under a lease when the key is free, then
 * renews the lease. The revision at which the key was created is the fencing token. An owner whose
 * lease cannot be renewed continues, within the time bound that its scheduler enforces, until it
 * learns that the key is lost.
 */
class leader_election
{
public:
    using elected_handler = std::function<void(store_revision token)>;
    using lost_handler = std::function<void()>;

    /**
     * @param term  duration of the lease
     * @param delay  wait before a free key is requested, so that preferred candidates come first
     */
    leader_election(boost::asio::io_context &loop, keyspace &with, std::string candidate,
                    std::chrono::milliseconds term, std::chrono::milliseconds delay,
                    elected_handler onElected, lost_handler onLost);

    void start();

    /** Stops competing for the key; an elected owner keeps it. */
    void withdraw() noexcept { m_withdrawn = true; }

    /** Releases the key, if held, and stops competing for it. */
    void resign(std::function<void()> done);

    /** Releases the key, if held, and competes for it again after the pause. */
    void yield(std::string_view reason, std::chrono::milliseconds pause);

    /** Ends the term of an elected owner whose key is known to be lost. */
    void stepDown(std::string_view reason);

    [[nodiscard]] bool isElected() const noexcept { return m_token != 0; }

    /** State of the lease: confirmedAt is the time at which the last confirmed grant or renewal was
        sent. */
    [[nodiscard]] const read_state &leaseState() const noexcept { return m_leaseState; }

private:
    void handleKeyChange(const keyspace_item &item);
    [[nodiscard]] bool isClaimOfFormerProcess(const std::string &claim) const;
    void releaseFormerClaim(const keyspace_item &item);
    void scheduleCampaign();
    void campaign();
    void acquireKey();
    void handleAcquisition(keyspace_commit &&outcome);
    void scheduleRenewal();
    void renewLease();
    void handleRenewal(const keyspace_lease &outcome, boot_time sentAt);
    void becomeOwner(store_revision token);
    void releaseKey(std::string_view reason, std::function<void()> done);

    keyspace &m_keyspace;
    std::string m_candidate;
    std::chrono::milliseconds m_term;
    std::chrono::milliseconds m_campaignDelay;
    elected_handler m_onElected;
    lost_handler m_onLost;
    boost::asio::steady_timer m_timer;
    prefix_watcher m_keyWatcher;
    /** Value of the key; distinguishes this process from earlier processes on the same VM. */
    std::string m_claimValue;
    store_lease_id m_lease{0};
    store_revision m_token{0};
    boot_time m_grantSentAt{};
    read_state m_leaseState{};
    /** The process does not compete for the key before this time. */
    boot_time m_yieldsUntil{};
    /** Last known revision of the key; 0 if it is free. */
    store_revision m_keyRevision{0};
    bool m_keyFree{false};
    bool m_campaigning{false};
    bool m_withdrawn{false};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
