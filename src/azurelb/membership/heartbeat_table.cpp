#include <azurelb/membership/heartbeat_table.hpp>

#include <algorithm>
#include <set>

namespace azurelb {

namespace {

/** Rounds whose send times are kept. */
constexpr std::size_t rememberedRounds{256};

/** Time for which a VM that is no peer still gets heartbeats after it was heard. */
constexpr std::chrono::seconds answerStrangersFor{5};

} // namespace

heartbeat_table::heartbeat_table(member self, const heartbeat_options &options)
    : m_self{std::move(self)}
    , m_options{options}
{ }

void heartbeat_table::setPeers(const std::vector<vm_id> &vms, time_point now)
{
    std::map<vm_id, peer> wanted;
    for (const vm_id &vm : vms) {
        const auto known = m_peers.find(vm);
        wanted.emplace(vm, known == m_peers.end() ? peer{now} : known->second);
    }
    wanted.erase(m_self.vm);
    m_peers = std::move(wanted);
}

std::vector<vm_id> heartbeat_table::destinations(time_point now) const
{
    std::set<vm_id> vms;
    for (const auto &[vm, state] : m_peers)
        vms.insert(vm);
    for (const auto &[id, state] : m_members) {
        if (now - state.heardAt <= answerStrangersFor)
            vms.insert(id.vm);
    }
    return {vms.begin(), vms.end()};
}

void heartbeat_table::beginRound(time_point now)
{
    ++m_sequence;
    m_rounds.push_back(now);
    if (m_rounds.size() > rememberedRounds)
        m_rounds.pop_front();
    forget(now);
}

wire::heartbeat heartbeat_table::compose(const vm_id &to) const
{
    wire::heartbeat heartbeat;
    heartbeat.set_sequence(m_sequence);
    heartbeat.set_leaving(m_leaving);
    const auto first = m_members.lower_bound(member{to, incarnation{0}});
    for (auto each = first; each != m_members.end() && each->first.vm == to; ++each) {
        wire::echo &echo = *heartbeat.add_echoes();
        echo.set_incarnation(static_cast<std::uint64_t>(each->first.id));
        echo.set_sequence(each->second.lastSequence);
    }
    return heartbeat;
}

std::optional<time_point> heartbeat_table::receive(const member &from,
                                                   const wire::heartbeat &heartbeat, time_point now)
{
    if (from == m_self)
        return std::nullopt;
    entry &sender = m_members[from];
    if (heartbeat.sequence() <= sender.lastSequence)
        return std::nullopt;
    sender.lastSequence = heartbeat.sequence();
    sender.heardAt = now;
    sender.leaving = sender.leaving || heartbeat.leaving();
    const std::optional<time_point> answersSentAt = answered(heartbeat);
    if (!answersSentAt || sender.leaving)
        return std::nullopt;
    sender.answersSentAt = std::max(sender.answersSentAt.value_or(*answersSentAt), *answersSentAt);
    return answersSentAt;
}

std::vector<member> heartbeat_table::fresh(time_point now) const
{
    std::vector<member> members;
    for (const auto &[id, state] : m_members) {
        if (isFresh(state, now))
            members.push_back(id);
    }
    if (!m_leaving)
        members.insert(std::upper_bound(members.begin(), members.end(), m_self), m_self);
    return members;
}

bool heartbeat_table::isLeaving(const member &id) const noexcept
{
    const auto found = m_members.find(id);
    return found != m_members.end() && found->second.leaving;
}

std::vector<vm_id> heartbeat_table::takeSilent(time_point now)
{
    std::vector<vm_id> silent;
    for (auto &[vm, state] : m_peers) {
        if (answers(vm, now)) {
            state.dialledAt = now;
        } else if (now - state.dialledAt >= m_options.redialAfter) {
            state.dialledAt = now;
            silent.push_back(vm);
        }
    }
    return silent;
}

std::size_t heartbeat_table::countKnown(time_point now) const
{
    std::set<vm_id> vms{m_self.vm};
    std::set<vm_id> left;
    for (const auto &[id, state] : m_members) {
        if (now - state.heardAt <= m_options.forgetAfter)
            (state.leaving ? left : vms).insert(id.vm);
    }
    for (const auto &[vm, state] : m_peers) {
        if (!left.contains(vm))
            vms.insert(vm);
    }
    return vms.size();
}

bool heartbeat_table::isFresh(const entry &each, time_point now) const noexcept
{
    return !each.leaving && each.answersSentAt
        && now - *each.answersSentAt <= m_options.suspectAfter;
}

std::optional<time_point> heartbeat_table::sentAt(std::uint64_t sequence) const noexcept
{
    const std::uint64_t age = m_sequence - sequence;
    if (sequence > m_sequence || age >= m_rounds.size())
        return std::nullopt;
    return m_rounds[m_rounds.size() - 1 - static_cast<std::size_t>(age)];
}

std::optional<time_point> heartbeat_table::answered(const wire::heartbeat &heartbeat) const
{
    for (const wire::echo &echo : heartbeat.echoes()) {
        if (incarnation{echo.incarnation()} == m_self.id)
            return sentAt(echo.sequence());
    }
    return std::nullopt;
}

bool heartbeat_table::answers(const vm_id &vm, time_point now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &each) {
        return each.first.vm == vm && isFresh(each.second, now);
    });
}

void heartbeat_table::forget(time_point now)
{
    std::erase_if(m_members, [&](const auto &each) {
        return now - each.second.heardAt > m_options.forgetAfter;
    });
}

} // namespace azurelb
