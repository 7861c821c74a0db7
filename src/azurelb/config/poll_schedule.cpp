#include <azurelb/config/poll_schedule.hpp>
#include <azurelb/core/rendezvous.hpp>

#include <algorithm>

namespace azurelb {

namespace {

constexpr std::size_t readerCount{2};
constexpr unsigned unreachableAfterFailures{3};
constexpr std::string_view readerKey{"store reader"};

std::vector<vm_id> eligibleReaders(const std::vector<poll_candidate> &candidates)
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
    , m_lastSentAt{now - options.isolatedReadPeriod}
{ }

bool poll_schedule::isReadDue(const std::vector<poll_candidate> &candidates, bool staysConfirmed,
                              time_point now)
{
    if (m_inFlight)
        return false;
    const bool reader = isStoreReader(candidates);
    const bool needed = reader || !staysConfirmed || isStoreUnreachable();
    return needed && now - m_lastSentAt >= period(candidates.size(), reader, !staysConfirmed);
}

void poll_schedule::onReadSent(time_point now)
{
    m_lastSentAt = now;
    m_inFlight = true;
    m_jitter = std::uniform_real_distribution{}(m_random);
}

void poll_schedule::onReadFinished(bool succeeded)
{
    m_inFlight = false;
    m_failures = succeeded ? 0 : m_failures + 1;
}

bool poll_schedule::isStoreUnreachable() const noexcept
{
    return m_failures >= unreachableAfterFailures;
}

bool poll_schedule::isStoreReader(const std::vector<poll_candidate> &candidates) const
{
    std::vector<vm_id> remaining = eligibleReaders(candidates);
    for (std::size_t chosen = 0; chosen < readerCount; ++chosen) {
        const vm_id *owner = rendezvousOwner(remaining, readerKey);
        if (!owner)
            return false;
        if (*owner == m_self)
            return true;
        remaining.erase(remaining.begin() + (owner - remaining.data()));
    }
    return false;
}

duration poll_schedule::period(std::size_t members, bool reader, bool unconfirmed) const
{
    constexpr double maxJitterFraction{0.5};
    if (members <= 1 && m_options.expectedMembers > 1)
        return m_options.isolatedReadPeriod;
    if (reader)
        return m_options.readPeriod;
    const std::size_t sharers = std::max<std::size_t>(unconfirmed ? members / 2 : members, 2);
    const duration shared = m_options.readPeriod * static_cast<duration::rep>(sharers);
    return shared + std::chrono::duration_cast<duration>(shared * (maxJitterFraction * m_jitter));
}

} // namespace azurelb
