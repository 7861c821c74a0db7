#include <azurelb/config/poll_schedule.hpp>
#include <azurelb/core/rendezvous.hpp>

#include <algorithm>

namespace azurelb {

namespace {

constexpr std::size_t readers{2};
constexpr unsigned failuresUntilUnreachable{3};
constexpr std::string_view readerKey{"store reader"};

std::vector<vm_id> eligible(const std::vector<poll_candidate> &candidates)
{
    std::vector<vm_id> reachable;
    std::vector<vm_id> all;
    for (const poll_candidate &each : candidates) {
        all.push_back(each.vm);
        if (!each.storeUnreachable)
            reachable.push_back(each.vm);
    }
    return reachable.empty() ? all : reachable;
}

} // namespace

poll_schedule::poll_schedule(vm_id self, const replica_options &options, incarnation seed,
                             time_point now)
    : m_self{std::move(self)}
    , m_options{options}
    , m_random{static_cast<std::minstd_rand::result_type>(seed)}
    , m_sentAt{now - options.isolatedReadPeriod}
{ }

bool poll_schedule::isDue(const std::vector<poll_candidate> &candidates, bool staysConfirmed,
                          time_point now)
{
    if (m_inFlight)
        return false;
    const bool reader = isReader(candidates);
    const bool needed = reader || !staysConfirmed || isStoreUnreachable();
    return needed && now - m_sentAt >= period(candidates.size(), reader, !staysConfirmed);
}

void poll_schedule::onSent(time_point now)
{
    m_sentAt = now;
    m_inFlight = true;
    m_jitter = std::uniform_real_distribution{}(m_random);
}

void poll_schedule::onAnswer(bool succeeded)
{
    m_inFlight = false;
    m_failures = succeeded ? 0 : m_failures + 1;
}

bool poll_schedule::isStoreUnreachable() const noexcept
{
    return m_failures >= failuresUntilUnreachable;
}

bool poll_schedule::isReader(const std::vector<poll_candidate> &candidates) const
{
    std::vector<vm_id> remaining = eligible(candidates);
    for (std::size_t chosen = 0; chosen < readers; ++chosen) {
        const vm_id *owner = rendezvousOwner(remaining, readerKey);
        if (!owner)
            return false;
        if (*owner == m_self)
            return true;
        remaining.erase(remaining.begin() + (owner - remaining.data()));
    }
    return false;
}

duration poll_schedule::period(std::size_t members, bool reader, bool urgent) const
{
    constexpr double jitterPart{0.5};
    if (members <= 1 && m_options.expectedMembers > 1)
        return m_options.isolatedReadPeriod;
    if (reader)
        return m_options.readPeriod;
    const std::size_t sharing = std::max<std::size_t>(urgent ? members / 2 : members, 2);
    const duration shared = m_options.readPeriod * static_cast<duration::rep>(sharing);
    return shared + std::chrono::duration_cast<duration>(shared * (jitterPart * m_jitter));
}

} // namespace azurelb
