#include <azurelb/membership/failure_detector.hpp>

#include <algorithm>
#include <set>

namespace azurelb {

namespace {

/** Number of rounds whose send times are kept. */
constexpr std::size_t maxRounds{256};

/** Time for which a VM that is not a peer gets heartbeats after it sent one. */
constexpr std::chrono::seconds unknownSenderReplyTime{5};

} // namespace

failure_detector::failure_detector(member self, const heartbeat_options &options)
    : m_self{std::move(self)}
    , m_options{options}
{ }

void failure_detector::setPeers(const std::vector<vm_id> &vms, time_point now)
{
    std::map<vm_id, peer_state> wanted;
    for (const vm_id &vm : vms) {
        const auto known = m_peers.find(vm);
        wanted.emplace(vm, known == m_peers.end() ? peer_state{now} : known->second);
    }
    wanted.erase(m_self.vm);
    m_peers = std::move(wanted);
}

std::vector<vm_id> failure_detector::destinations(time_point now) const
{
    std::set<vm_id> vms;
    for (const auto &[vm, state] : m_peers)
        vms.insert(vm);
    for (const auto &[id, state] : m_members) {
        if (now - state.heardAt <= unknownSenderReplyTime)
            vms.insert(id.vm);
    }
    return {vms.begin(), vms.end()};
}

void failure_detector::beginRound(time_point now)
{
    ++m_sequence;
    m_roundsSentAt.push_back(now);
    if (m_roundsSentAt.size() > maxRounds)
        m_roundsSentAt.pop_front();
    removeOldMembers(now);
}

wire::heartbeat failure_detector::composeHeartbeat(const vm_id &to) const
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

std::optional<time_point> failure_detector::receiveHeartbeat(const member &from,
                                                             const wire::heartbeat &heartbeat,
                                                             time_point now)
{
    if (from == m_self)
        return std::nullopt;
    member_state &sender = m_members[from];
    if (heartbeat.sequence() <= sender.lastSequence)
        return std::nullopt;
    sender.lastSequence = heartbeat.sequence();
    sender.heardAt = now;
    sender.leaving = sender.leaving || heartbeat.leaving();
    const std::optional<time_point> echoedSentAt = echoedSendTime(heartbeat);
    if (!echoedSentAt || sender.leaving)
        return std::nullopt;
    sender.echoedSentAt = std::max(sender.echoedSentAt.value_or(*echoedSentAt), *echoedSentAt);
    return echoedSentAt;
}

std::vector<member> failure_detector::freshMembers(time_point now) const
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

bool failure_detector::isLeaving(const member &id) const noexcept
{
    const auto found = m_members.find(id);
    return found != m_members.end() && found->second.leaving;
}

std::vector<vm_id> failure_detector::takeUnresponsivePeers(time_point now)
{
    std::vector<vm_id> unresponsive;
    for (auto &[vm, state] : m_peers) {
        if (isVmFresh(vm, now)) {
            state.lastDialledAt = now;
        } else if (now - state.lastDialledAt >= m_options.redialAfter) {
            state.lastDialledAt = now;
            unresponsive.push_back(vm);
        }
    }
    return unresponsive;
}

std::size_t failure_detector::countKnownVms(time_point now) const
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

bool failure_detector::isFresh(const member_state &each, time_point now) const noexcept
{
    return !each.leaving && each.echoedSentAt && now - *each.echoedSentAt <= m_options.suspectAfter;
}

std::optional<time_point> failure_detector::sendTimeOfRound(std::uint64_t sequence) const noexcept
{
    const std::uint64_t age = m_sequence - sequence;
    if (sequence > m_sequence || age >= m_roundsSentAt.size())
        return std::nullopt;
    return m_roundsSentAt[m_roundsSentAt.size() - 1 - static_cast<std::size_t>(age)];
}

std::optional<time_point> failure_detector::echoedSendTime(const wire::heartbeat &heartbeat) const
{
    for (const wire::echo &echo : heartbeat.echoes()) {
        if (incarnation{echo.incarnation()} == m_self.id)
            return sendTimeOfRound(echo.sequence());
    }
    return std::nullopt;
}

bool failure_detector::isVmFresh(const vm_id &vm, time_point now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &each) {
        return each.first.vm == vm && isFresh(each.second, now);
    });
}

void failure_detector::removeOldMembers(time_point now)
{
    std::erase_if(m_members, [&](const auto &each) {
        return now - each.second.heardAt > m_options.forgetAfter;
    });
}

} // namespace azurelb
