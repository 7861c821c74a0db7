#include <azurelb/control/leader_election.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/core/call_after.hpp>
#include <azurelb/keyspace/keyspace.hpp>
#include <azurelb/log/log.hpp>

#include <random>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Longest wait of one watch of the owner's key. */
constexpr milliseconds watchWait{2000};
/** Renewals in one term: two may be lost. */
constexpr int renewalsPerTerm{4};
/** Pause after a failed attempt to take the key. */
constexpr milliseconds retryPause{150};

std::string drawClaim(const std::string &candidate)
{
    std::random_device device;
    return candidate + '/' + std::to_string(device());
}

} // namespace

leader_election::leader_election(boost::asio::io_context &loop, keyspace &with,
                                 std::string candidate, milliseconds term, milliseconds delay,
                                 elected_handler onElected, lost_handler onLost)
    : m_keyspace{with}
    , m_candidate{std::move(candidate)}
    , m_term{term}
    , m_delay{delay}
    , m_onElected{std::move(onElected)}
    , m_onLost{std::move(onLost)}
    , m_timer{loop}
    , m_follower{loop,
                 with,
                 std::string{store_keys::owner},
                 watchWait,
                 [this](const keyspace_item &item) { take(item); },
                 [this] {
                     if (!isElected() && !m_free && !m_standing) {
                         m_free = m_known == 0;
                         standSoon();
                     }
                 }}
    , m_claim{drawClaim(m_candidate)}
{ }

void leader_election::start()
{
    m_follower.start();
}

void leader_election::take(const keyspace_item &item)
{
    m_known = item.removed ? 0 : item.revision;
    m_free = item.removed;
    if (isElected() && item.revision > m_token) {
        lose("the key was taken or removed");
        return;
    }
    // A commit whose answer was lost may have taken the key for us.
    if (!item.removed && item.value == m_claim && m_lease != 0 && !isElected())
        elected(item.revision);
    else if (m_free)
        standSoon();
}

void leader_election::standSoon()
{
    if (!m_free || m_standing || m_withdrawn || isElected())
        return;
    m_standing = true;
    callAfter(m_timer, m_delay, m_alive, [this] { stand(); });
}

void leader_election::stand()
{
    if (!m_free || m_withdrawn) {
        m_standing = false;
        return;
    }
    m_grantSentAt = boot_clock::now();
    m_keyspace.grant(m_term,
                     [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_lease &&granted) {
                         if (alive.expired())
                             return;
                         if (granted.error == keyspace_error::none) {
                             m_lease = granted.lease;
                             takeKey();
                             return;
                         }
                         m_standing = false;
                         callAfter(m_timer, retryPause, m_alive, [this] { standSoon(); });
                     });
}

void leader_election::takeKey()
{
    const std::string key{store_keys::owner};
    const keyspace_write write{{{key, 0}}, {{key, m_claim, m_lease}}, {}};
    m_keyspace.commit(write, [this, alive = std::weak_ptr<bool>{m_alive}](keyspace_commit &&done) {
        if (!alive.expired())
            taken(std::move(done));
    });
}

void leader_election::taken(keyspace_commit &&outcome)
{
    m_standing = false;
    if (isElected() || m_withdrawn)
        return;
    if (outcome.error == keyspace_error::none) {
        elected(outcome.revision);
        return;
    }
    if (outcome.error == keyspace_error::conflict) {
        m_keyspace.revoke(std::exchange(m_lease, 0), [](keyspace_lease &&) {});
        m_free = false;
        return;
    }
    // With an unknown outcome the follower tells who holds the key.
    callAfter(m_timer, retryPause, m_alive, [this] { standSoon(); });
}

void leader_election::elected(store_revision token)
{
    m_token = token;
    m_free = false;
    m_confirmedAt = m_grantSentAt;
    logEvent(event::owner_elected, {{"token", token}});
    renewSoon();
    m_onElected(token);
}

void leader_election::renewSoon()
{
    callAfter(m_timer, m_term / renewalsPerTerm, m_alive, [this] {
        if (isElected())
            renew();
    });
}

void leader_election::renew()
{
    const boot_time sentAt = boot_clock::now();
    m_keyspace.renew(
        m_lease, [this, sentAt, alive = std::weak_ptr<bool>{m_alive}](keyspace_lease &&outcome) {
            if (!alive.expired() && isElected())
                renewed(outcome, sentAt);
        });
}

void leader_election::renewed(const keyspace_lease &outcome, boot_time sentAt)
{
    if (outcome.error == keyspace_error::missing) {
        lose("the lease has ended");
        return;
    }
    if (outcome.error == keyspace_error::none)
        m_confirmedAt = sentAt;
    renewSoon();
}

void leader_election::lose(std::string_view reason)
{
    if (!isElected())
        return;
    logEvent(event::owner_lost, {{"token", m_token}, {"reason", reason}});
    m_token = 0;
    m_lease = 0;
    m_timer.cancel();
    m_onLost();
    standSoon();
}

void leader_election::resign(std::function<void()> done)
{
    m_withdrawn = true;
    m_timer.cancel();
    if (!isElected()) {
        done();
        return;
    }
    logEvent(event::owner_lost, {{"token", m_token}, {"reason", "shutdown"}});
    m_token = 0;
    m_onLost();
    m_keyspace.revoke(std::exchange(m_lease, 0),
                      [done = std::move(done)](keyspace_lease &&) { done(); });
}

} // namespace azurelb
