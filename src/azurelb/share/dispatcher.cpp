#include <azurelb/share/dispatcher.hpp>

#include <algorithm>

namespace azurelb {

namespace {

using namespace std::chrono_literals;

/** A daemon without a report for this long gets no slots. */
constexpr duration unresponsiveAfter{500ms};

[[nodiscard]] std::uint64_t increase(std::uint64_t now, std::uint64_t before) noexcept
{
    return now >= before ? now - before : now;
}

} // namespace

dispatcher::dispatcher(const share_options &options, std::uint64_t firstSlot,
                       std::uint64_t firstSequence, time_point now)
    : m_options{options}
    , m_plan{options}
    , m_nextSlot{firstSlot}
    , m_sequence{firstSequence}
    , m_startedAt{now}
    , m_lastPoll{now}
{ }

void dispatcher::setMembers(std::span<const member> members)
{
    m_members.assign(members.begin(), members.end());
    m_isChanged = true;
}

void dispatcher::setUpstreams(std::span<const upstream_vm> eligible)
{
    for (auto &[vm, each] : m_upstreams)
        each.isEligible = false;
    for (const upstream_vm &vm : eligible) {
        upstream_state &each = m_upstreams[vm.vm];
        each.vm = vm;
        each.isEligible = true;
    }
    m_isChanged = true;
}

dispatcher::daemon_state &dispatcher::findDaemon(const member &from, time_point now)
{
    const auto found = std::find_if(m_daemons.begin(), m_daemons.end(),
                                    [&from](const daemon_state &each) { return each.id == from; });
    if (found != m_daemons.end())
        return *found;
    m_daemons.emplace_back();
    m_daemons.back().id = from;
    m_daemons.back().lastHeard = now;
    m_plan.addDaemon();
    return m_daemons.back();
}

void dispatcher::beginTerm(daemon_state &daemon, std::uint64_t term)
{
    daemon.term = term;
    daemon.reportSequence = 0;
    daemon.acknowledged = 0;
    daemon.querySequence = 0;
    daemon.isSynchronised = false;
    daemon.lastSent = {};
    daemon.slots.clear();
}

void dispatcher::applySlots(daemon_state &daemon, const slot_report &report)
{
    const auto isReturned = [&report](const slot_state &slot) {
        return slot.sequence <= report.acknowledged
            && std::none_of(report.slots.begin(), report.slots.end(),
                            [&slot](const held_slot &held) { return held.id == slot.id; });
    };
    std::erase_if(daemon.slots, isReturned);
    for (const held_slot &held : report.slots) {
        const auto known = std::find_if(daemon.slots.begin(), daemon.slots.end(),
                                        [&held](const slot_state &s) { return s.id == held.id; });
        if (known != daemon.slots.end()) {
            known->isBusy = held.isBusy;
            continue;
        }
        upstream_state &upstream = m_upstreams[held.vm];
        upstream.vm.vm = held.vm;
        daemon.slots.push_back({held.id, &upstream, 0, true, held.isBusy});
    }
}

void dispatcher::applyOutcomes(daemon_state &daemon, const slot_report &report, time_point now)
{
    for (const outcome_count &count : report.outcomes) {
        auto known = std::find_if(daemon.outcomes.begin(), daemon.outcomes.end(),
                                  [&count](const outcome_count &c) { return c.vm == count.vm; });
        if (known == daemon.outcomes.end())
            known = daemon.outcomes.insert(known, {count.vm});
        const outcome_count change{count.vm, increase(count.answered, known->answered),
                                   increase(count.failed, known->failed),
                                   increase(count.refused, known->refused)};
        *known = count;
        const auto upstream = m_upstreams.find(count.vm);
        if (upstream != m_upstreams.end())
            upstream->second.breaker.record(change, now);
    }
}

void dispatcher::apply(const member &from, const slot_report &report, time_point now)
{
    daemon_state &daemon = findDaemon(from, now);
    if (report.term < daemon.term)
        return;
    if (report.term > daemon.term)
        beginTerm(daemon, report.term);
    if (report.sequence <= daemon.reportSequence)
        return;
    daemon.reportSequence = report.sequence;
    daemon.reportSentAt = report.sentAt;
    daemon.lastHeard = now;
    daemon.acknowledged = std::max(daemon.acknowledged, report.acknowledged);
    daemon.isSynchronised = daemon.querySequence > 0 && daemon.acknowledged >= daemon.querySequence;
    daemon.isReplyDue = daemon.isReplyDue || report.isReplyWanted;
    daemon.avoid = {report.avoid.begin(), report.avoid.end()};
    applySlots(daemon, report);
    applyOutcomes(daemon, report, now);
    m_plan.setLoad(static_cast<size_type>(&daemon - m_daemons.data()), report.teams);
    m_isChanged = true;
}

bool dispatcher::isUnresponsive(const daemon_state &daemon, time_point now) const noexcept
{
    return now - daemon.lastHeard > unresponsiveAfter;
}

bool dispatcher::isMember(const member &id) const noexcept
{
    return std::find(m_members.begin(), m_members.end(), id) != m_members.end();
}

void dispatcher::removeExpired(time_point now)
{
    const duration longest = m_options.leaseTime + m_options.orphanedRunTime;
    for (size_type index = m_daemons.size(); index-- > 0;) {
        if (now - m_daemons[index].lastHeard <= longest)
            continue;
        m_daemons.erase(m_daemons.begin() + static_cast<std::ptrdiff_t>(index));
        m_plan.removeDaemon(index);
    }
}

bool dispatcher::isReady(time_point now)
{
    if (m_isReady)
        return true;
    const auto isKnown = [this](const member &id) {
        return std::any_of(m_daemons.begin(), m_daemons.end(), [&id](const daemon_state &each) {
            return each.id == id && each.isSynchronised;
        });
    };
    m_isReady = std::all_of(m_members.begin(), m_members.end(), isKnown)
        || now - m_startedAt >= m_options.initialReportTimeout;
    return m_isReady;
}

void dispatcher::updateSlotCounts(time_point now)
{
    for (auto &[vm, each] : m_upstreams) {
        const std::uint32_t slots = each.vm.slots;
        const std::uint32_t healthy =
            m_options.usesCircuitBreakers ? each.breaker.allowedSlots(slots, now) : slots;
        each.capacity = each.isEligible ? healthy : 0;
        each.held = 0;
        each.assigned = 0;
    }
    for (const daemon_state &daemon : m_daemons) {
        for (const slot_state &slot : daemon.slots) {
            ++slot.upstream->held;
            slot.upstream->assigned += slot.isAssigned ? 1 : 0;
        }
    }
    std::erase_if(m_upstreams, [](const auto &entry) {
        return !entry.second.isEligible && entry.second.held == 0;
    });
}

void dispatcher::updatePresence(time_point now)
{
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        const bool isGone = isUnresponsive(m_daemons[index], now);
        if (isGone)
            m_plan.setLoad(index, {});
        m_plan.setGetsIdleSlots(index, !isGone && isMember(m_daemons[index].id));
    }
}

double dispatcher::usableCapacity(time_point now) const
{
    double usable = 0;
    for (const auto &[vm, each] : m_upstreams)
        usable += each.capacity;
    for (const daemon_state &daemon : m_daemons) {
        if (isUnresponsive(daemon, now))
            usable -= static_cast<double>(daemon.slots.size());
    }
    return std::max(usable, 0.0);
}

void dispatcher::updatePlan(time_point now)
{
    const duration least = m_isChanged ? m_options.urgentInterval : m_options.routineInterval;
    if (now - m_lastPlan < least)
        return;
    removeExpired(now);
    updatePresence(now);
    updateSlotCounts(now);
    if (!isReady(now))
        return;
    m_plan.compute(usableCapacity(now));
    recallExcess();
    setWantedSlots(now);
    assignFree();
    recallForWaiting();
    assignFree();
    m_isChanged = false;
    m_lastPlan = now;
}

bool dispatcher::isDue(const daemon_state &daemon, time_point now) const
{
    const duration since = now - daemon.lastSent;
    if (!daemon.isSynchronised)
        return since >= m_options.retransmissionInterval;
    const bool isUnacknowledged = daemon.changedSequence > daemon.acknowledged;
    const bool isUrgent = daemon.isUrgent || daemon.wasContended != m_plan.isContended();
    return (isUrgent && since >= m_options.urgentInterval)
        || (daemon.isReplyDue && since >= m_options.routineInterval)
        || ((isUnacknowledged || m_plan.isContended()) && since >= m_options.retransmissionInterval)
        || since >= m_options.heartbeatInterval;
}

slot_assignment dispatcher::makeAssignment(size_type index, time_point now)
{
    daemon_state &daemon = m_daemons[index];
    slot_assignment made;
    made.term = daemon.term;
    made.sequence = ++m_sequence;
    made.acknowledged = daemon.reportSequence;
    made.reportSentAt = daemon.reportSentAt;
    made.isQuery = !daemon.isSynchronised;
    daemon.lastSent = now;
    if (made.isQuery) {
        if (daemon.querySequence == 0)
            daemon.querySequence = made.sequence;
        return made;
    }
    made.isContended = m_plan.isContended();
    made.weights = m_plan.targetOf(index).weights;
    for (slot_state &slot : daemon.slots) {
        slot.sequence = std::min(slot.sequence, made.sequence);
        if (slot.isAssigned)
            made.slots.push_back({slot.id, slot.upstream->vm.vm});
    }
    if (daemon.isUrgent || daemon.changedSequence > daemon.acknowledged)
        daemon.changedSequence = made.sequence;
    daemon.isUrgent = false;
    daemon.isReplyDue = false;
    daemon.wasContended = made.isContended;
    return made;
}

void dispatcher::synchronise(time_point now)
{
    m_isReady = false;
    m_startedAt = now;
    for (daemon_state &daemon : m_daemons) {
        daemon.isSynchronised = false;
        daemon.querySequence = 0;
        daemon.lastSent = {};
    }
}

std::vector<addressed_assignment> dispatcher::poll(time_point now)
{
    if (now - m_lastPoll > unresponsiveAfter)
        synchronise(now);
    m_lastPoll = now;
    updatePlan(now);
    std::vector<addressed_assignment> due;
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        const daemon_state &daemon = m_daemons[index];
        if (isUnresponsive(daemon, now) || !isDue(daemon, now))
            continue;
        if (daemon.isSynchronised && (!m_isReady || m_isChanged))
            continue;
        due.push_back({daemon.id, makeAssignment(index, now)});
    }
    return due;
}

dispatcher::size_type dispatcher::openCircuits() const
{
    return static_cast<size_type>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [](const auto &entry) { return entry.second.breaker.isOpen(); }));
}

dispatcher::size_type dispatcher::held() const
{
    size_type sum = 0;
    for (const daemon_state &daemon : m_daemons)
        sum += daemon.slots.size();
    return sum;
}

dispatcher::size_type dispatcher::capacity() const
{
    size_type sum = 0;
    for (const auto &[vm, each] : m_upstreams)
        sum += each.capacity;
    return sum;
}

} // namespace azurelb
