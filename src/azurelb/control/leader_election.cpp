#include <azurelb/control/leader_election.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/log/log.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Longest duration of one watch call on the owner's key. */
constexpr milliseconds watchTimeout{2000};
/** Lease renewals in one term, so that two may be lost. */
constexpr int renewalsPerTerm{4};
/** Delay after a failed attempt to acquire the key. */
constexpr milliseconds retryDelay{150};
/** Between the candidate's name and a number that differs between its processes. */
constexpr char claimSeparator{'/'};

std::string makeClaimValue(const std::string &candidate)
{
    std::random_device device;
    return candidate + claimSeparator + std::to_string(device());
}

} // namespace

leader_election::leader_election(boost::asio::io_context &loop, keyspace &with,
                                 std::string candidate, milliseconds term, milliseconds delay,
                                 elected_handler onElected, lost_handler onLost)
    : m_keyspace{with}
    , m_candidate{std::move(candidate)}
    , m_term{term}
    , m_campaignDelay{delay}
    , m_onElected{std::move(onElected)}
    , m_onLost{std::move(onLost)}
    , m_timer{loop}
    , m_keyWatcher{loop,
                   with,
                   std::string{store_keys::owner},
                   watchTimeout,
                   [this](const keyspace_item &item) { handleKeyChange(item); },
                   [this] {
                       if (!isElected() && !m_keyFree && !m_campaigning) {
                           m_keyFree = m_keyRevision == 0;
                           scheduleCampaign();
                       }
                   }}
    , m_claimValue{makeClaimValue(m_candidate)}
{ }

void leader_election::start()
{
    m_keyWatcher.start();
}

void leader_election::handleKeyChange(const keyspace_item &item)
{
    m_keyRevision = item.removed ? 0 : item.revision;
    m_keyFree = item.removed;
    if (isElected() && item.revision > m_token) {
        stepDown("the key was overwritten or removed");
        return;
    }
    // A commit whose answer was lost may have created the key for this process.
    if (!item.removed && item.value == m_claimValue && m_lease != 0 && !isElected())
        becomeOwner(item.revision);
    else if (m_keyFree)
        scheduleCampaign();
    else if (isClaimOfFormerProcess(item.value))
        releaseFormerClaim(item);
}

bool leader_election::isClaimOfFormerProcess(const std::string &claim) const
{
    return claim.starts_with(m_candidate + claimSeparator) && claim != m_claimValue;
}

/** A VM runs one process of this program, so the process that made the claim has ended. Without
    this, the fleet would be without an owner until the lease expires. */
void leader_election::releaseFormerClaim(const keyspace_item &item)
{
    const std::string key{store_keys::owner};
    const keyspace_write write = keyspace_write{}.remove(key, item.revision);
    m_keyspace.commit(write, [revision = item.revision](keyspace_commit &&outcome) {
        logEvent(event::former_claim_released,
                 {{"token", revision}, {"outcome", toString(outcome.error)}});
    });
}

void leader_election::scheduleCampaign()
{
    if (!m_keyFree || m_campaigning || m_withdrawn || isElected())
        return;
    m_campaigning = true;
    const milliseconds pause = m_yieldsUntil - boot_clock::now();
    callAfter(m_timer, std::max(pause, milliseconds{0}) + m_campaignDelay, m_alive,
              [this] { campaign(); });
}

void leader_election::campaign()
{
    if (!m_keyFree || m_withdrawn) {
        m_campaigning = false;
        return;
    }
    m_grantSentAt = boot_clock::now();
    m_keyspace.grant(m_term,
                     [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_lease &&granted) {
                         if (alive.expired())
                             return;
                         if (granted.error == keyspace_error::none) {
                             m_lease = granted.lease;
                             acquireKey();
                             return;
                         }
                         m_campaigning = false;
                         callAfter(m_timer, retryDelay, m_alive, [this] { scheduleCampaign(); });
                     });
}

void leader_election::acquireKey()
{
    const std::string key{store_keys::owner};
    const keyspace_write write = keyspace_write{}.replace({key, m_claimValue, m_lease}, 0);
    m_keyspace.commit(write, [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&done) {
        if (!alive.expired())
            handleAcquisition(std::move(done));
    });
}

void leader_election::handleAcquisition(keyspace_commit &&outcome)
{
    m_campaigning = false;
    if (isElected() || m_withdrawn)
        return;
    if (outcome.error == keyspace_error::none) {
        becomeOwner(outcome.revision);
        return;
    }
    if (outcome.error == keyspace_error::conflict) {
        m_keyspace.revoke(std::exchange(m_lease, 0), [](keyspace_lease &&) {});
        m_keyFree = false;
        return;
    }
    // If the outcome is unknown, the watcher reports who holds the key.
    callAfter(m_timer, retryDelay, m_alive, [this] { scheduleCampaign(); });
}

void leader_election::becomeOwner(store_revision token)
{
    m_token = token;
    m_keyFree = false;
    m_leaseState = {m_grantSentAt, std::nullopt, boot_clock::now()};
    logEvent(event::owner_elected, {{"token", token}});
    scheduleRenewal();
    m_onElected(token);
}

void leader_election::scheduleRenewal()
{
    callAfter(m_timer, m_term / renewalsPerTerm, m_alive, [this] {
        if (isElected())
            renewLease();
    });
}

void leader_election::renewLease()
{
    const boot_time sentAt = boot_clock::now();
    m_keyspace.renew(
        m_lease, [this, sentAt, alive = std::weak_ptr<bool>{m_alive}](keyspace_lease &&outcome) {
            if (!alive.expired() && isElected())
                handleRenewal(outcome, sentAt);
        });
}

void leader_election::handleRenewal(const keyspace_lease &outcome, boot_time sentAt)
{
    if (outcome.error == keyspace_error::missing) {
        stepDown("the lease has ended");
        return;
    }
    if (outcome.error == keyspace_error::none)
        m_leaseState = {sentAt, std::nullopt, boot_clock::now()};
    else
        m_leaseState.failedAt = sentAt;
    scheduleRenewal();
}

void leader_election::stepDown(std::string_view reason)
{
    if (!isElected())
        return;
    logEvent(event::owner_lost, {{"token", m_token}, {"reason", reason}});
    m_token = 0;
    m_lease = 0;
    m_timer.cancel();
    m_onLost();
    scheduleCampaign();
}

void leader_election::resign(std::function<void()> done)
{
    m_withdrawn = true;
    releaseKey("shutdown", std::move(done));
}

void leader_election::yield(std::string_view reason, milliseconds pause)
{
    if (!isElected())
        return;
    m_yieldsUntil = boot_clock::now() + pause;
    releaseKey(reason, [] {});
}

void leader_election::releaseKey(std::string_view reason, std::function<void()> done)
{
    m_timer.cancel();
    if (!isElected()) {
        done();
        return;
    }
    logEvent(event::owner_lost, {{"token", m_token}, {"reason", reason}});
    m_token = 0;
    m_onLost();
    m_keyspace.revoke(std::exchange(m_lease, 0),
                      [done = std::move(done)](keyspace_lease &&) { done(); });
}

} // namespace azurelb
