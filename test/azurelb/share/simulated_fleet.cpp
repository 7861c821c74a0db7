#include "simulated_fleet.hpp"

#include <algorithm>

namespace azurelb::testing {

using namespace std::chrono_literals;

namespace {

const char *const zones[]{"milano", "bergamo", "verona", "trento"};

[[nodiscard]] double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

[[nodiscard]] duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

simulated_fleet::simulated_fleet(fleet_options options)
    : m_options{std::move(options)}
    , m_random{m_options.seed}
{
    for (std::size_t index = 0; index < m_options.upstreams; ++index) {
        executor added;
        added.vm.vm = vm_id{"executor-" + std::to_string(index)};
        added.vm.zone = zone_name{zones[index % std::size(zones)]};
        added.vm.slots = m_options.slots;
        m_executors.push_back(added);
    }
    m_daemons.resize(m_options.daemons);
    m_isFresh.assign(m_options.daemons, true);
    for (std::size_t index = 0; index < m_daemons.size(); ++index)
        startDaemon(index, m_nextProcess++);
    if (!m_options.isStatic)
        refreshMembership();
    tick();
}

void simulated_fleet::startDaemon(std::size_t index, std::uint64_t process)
{
    daemon &started = m_daemons[index];
    started = {};
    started.id = {vm_id{"entry-" + std::to_string(index)}, incarnation{process}};
    started.limits = std::make_unique<mock_limits>();
    started.rights = std::make_unique<rights_broker>(*started.limits);
    started.client =
        std::make_unique<dispatcher_client>(m_options.share, *started.rights, process << 32U);
    started.client->setUpstreams(eligible(), m_now);
}

std::vector<upstream_vm> simulated_fleet::eligible() const
{
    std::vector<upstream_vm> all;
    for (const executor &each : m_executors) {
        if (each.isEligible)
            all.push_back(each.vm);
    }
    return all;
}

void simulated_fleet::schedule(time_point at, std::function<void()> action)
{
    m_events.push({at, m_nextOrder++, std::move(action)});
}

void simulated_fleet::scheduleAt(std::size_t index, time_point at, std::function<void()> action)
{
    const incarnation process = m_daemons[index].id.id;
    schedule(at, [this, index, process, action = std::move(action)] {
        daemon &to = m_daemons[index];
        if (!to.isAlive || to.id.id != process)
            return;
        if (to.pausedUntil > m_now)
            return scheduleAt(index, to.pausedUntil, action);
        action();
    });
}

void simulated_fleet::advance(duration span)
{
    const time_point until = m_now + span;
    while (!m_events.empty() && m_events.top().at <= until) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_now = until;
}

double simulated_fleet::draw()
{
    return std::uniform_real_distribution<double>{0, 1}(m_random);
}

duration simulated_fleet::drawRun()
{
    const double mean = toSeconds(m_options.meanRun);
    if (m_options.isLongTailed)
        return fromSeconds(std::exponential_distribution<double>{1 / mean}(m_random));
    return fromSeconds(mean * (0.5 + draw()));
}

std::size_t simulated_fleet::addLoad(load added)
{
    m_loads.push_back(std::move(added));
    const std::size_t index = m_loads.size() - 1;
    schedule(m_now, [this, index] { arrive(index); });
    return index;
}

void simulated_fleet::arrive(std::size_t index)
{
    const load &from = m_loads[index];
    if (from.perSecond <= 0)
        return schedule(m_now + 10ms, [this, index] { arrive(index); });
    const double gap = std::exponential_distribution<double>{from.perSecond}(m_random);
    schedule(m_now + fromSeconds(gap), [this, index] { arrive(index); });
    if (m_daemons[from.daemon].isAlive)
        sendRequest(from.daemon, from.team, from.deadline);
}

ticket_id simulated_fleet::sendRequest(std::size_t index, const team_name &team,
                                       std::chrono::milliseconds deadline, std::set<vm_id> avoid)
{
    const ticket_id ticket{m_nextTicket++};
    ++m_statistics[team].requested;
    m_daemons[index].tickets[ticket] = {team, m_now, false};
    const slot_request wanted{queue_name{"queue"}, team, m_now + deadline, std::move(avoid)};
    scheduleAt(index, m_now, [this, index, ticket, wanted] {
        m_daemons[index].client->request(ticket, wanted, m_now);
        flush(index);
    });
    return ticket;
}

void simulated_fleet::cancelWaiting(double part)
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        daemon &at = m_daemons[index];
        if (!at.isAlive || at.pausedUntil > m_now)
            continue;
        for (auto &[id, ticket] : at.tickets) {
            if (ticket.isEnded || draw() >= part || !at.client->cancel(id))
                continue;
            ticket.isEnded = true;
            ++m_statistics[ticket.team].cancelled;
        }
        flush(index);
    }
}

void simulated_fleet::tick()
{
    schedule(m_now + 1ms, [this] { tick(); });
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        daemon &at = m_daemons[index];
        if (at.isAlive && at.pausedUntil <= m_now)
            flush(index);
        const bool isGone = !at.isAlive || at.pausedUntil > m_now + m_options.detection;
        if (!isGone && !m_isFresh[index]) {
            m_isFresh[index] = true;
            refreshMembership();
        }
    }
    measureIdle();
}

void simulated_fleet::measureIdle()
{
    const dispatcher *owner = findDispatcher();
    const std::uint64_t slots = owner ? owner->capacity() : 0;
    std::uint64_t waiting = 0;
    for (const daemon &each : m_daemons)
        waiting += each.isAlive ? each.client->queue().backed() : 0;
    const std::uint64_t used = busy();
    const std::uint64_t idle = slots > used ? slots - used : 0;
    m_idleSeconds += 0.001 * static_cast<double>(std::min(idle, waiting));
    for (executor &each : m_executors) {
        const bool isIdle = idle > 0 && waiting > 0 && each.isEligible && each.used < each.vm.slots;
        each.idleTime = isIdle ? each.idleTime + 1ms : duration{};
        m_maxIdleTime = std::max(m_maxIdleTime, each.idleTime);
    }
}

void simulated_fleet::flushStatic(daemon &at)
{
    const auto index = static_cast<std::size_t>(&at - m_daemons.data());
    slot_assignment fixed;
    fixed.term = 1;
    fixed.sequence = ++at.staticSequence;
    fixed.reportSentAt =
        std::chrono::duration_cast<std::chrono::microseconds>(m_now.time_since_epoch());
    std::uint64_t id = 1;
    for (const executor &each : m_executors) {
        for (std::uint32_t slot = 0; slot < each.vm.slots; ++slot, ++id) {
            if (id % m_daemons.size() == index && each.isEligible)
                fixed.slots.push_back({slot_id{id}, each.vm.vm});
        }
    }
    for (const team_share &each : m_options.shares)
        fixed.weights.push_back({each.team, static_cast<double>(each.share)});
    at.client->apply(fixed, m_now);
}

void simulated_fleet::flush(std::size_t index)
{
    daemon &at = m_daemons[index];
    if (m_options.isStatic)
        flushStatic(at);
    at.client->poll(m_now);
    for (const ticket_grant &granted : at.client->takeGrants())
        applyGrant(index, granted);
    if (const auto report = at.client->takeReport(m_now); report && !m_options.isStatic)
        sendReport(index, *report);
    if (at.ownDispatcher) {
        for (const addressed_assignment &made : at.ownDispatcher->poll(m_now))
            sendAssignment(index, made);
    }
    at.rights->flush();
}

void simulated_fleet::applyGrant(std::size_t index, const ticket_grant &granted)
{
    ticket_state &ticket = m_daemons[index].tickets[granted.ticket];
    m_repeatedOutcomes += ticket.isEnded ? 1 : 0;
    ticket.isEnded = true;
    if (granted.grant.refusal != slot_refusal::none) {
        team_statistics &statistics = m_statistics[ticket.team];
        ++statistics.refused;
        statistics.refusedAtOnce += m_now - ticket.requestedAt <= 1ms ? 1 : 0;
        return;
    }
    m_waits.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(m_now - ticket.requestedAt));
    const vm_id &vm = granted.grant.upstream.vm;
    const auto found = std::find_if(m_executors.begin(), m_executors.end(),
                                    [&vm](const executor &each) { return each.vm.vm == vm; });
    const auto upstream = static_cast<std::size_t>(found - m_executors.begin());
    const duration span = found->isFailing ? duration{1ms} : drawRun();
    const lease_id lease = granted.grant.lease;
    const team_name team = ticket.team;
    ++found->attempts;
    ++found->used;
    schedule(m_now + m_options.delay, [this, upstream, team, span] {
        m_maxRunning = std::max(m_maxRunning, ++m_executors[upstream].running);
        const auto running = m_running.emplace(team, m_now);
        schedule(m_now + span, [this, upstream, running] {
            --m_executors[upstream].running;
            m_statistics[running->first].usedSeconds += toSeconds(m_now - running->second);
            m_running.erase(running);
        });
    });
    scheduleAt(index, m_now + 2 * m_options.delay + span,
               [this, index, lease, team, upstream, span] {
                   endAttempt(index, lease, team, upstream, span);
               });
}

void simulated_fleet::endAttempt(std::size_t index, lease_id lease, const team_name &team,
                                 std::size_t upstream, duration span)
{
    --m_executors[upstream].used;
    const bool isFailed = span == 1ms && m_executors[upstream].isFailing;
    team_statistics &statistics = m_statistics[team];
    ++(isFailed ? statistics.failed : statistics.answered);
    m_daemons[index].client->release(
        lease, isFailed ? attempt_outcome::failed : attempt_outcome::answered, m_now);
    flush(index);
}

void simulated_fleet::setFailing(const zone_name &zone, bool isFailing)
{
    for (executor &each : m_executors)
        each.isFailing = each.vm.zone == zone ? isFailing : each.isFailing;
}

void simulated_fleet::setFailing(std::size_t upstream, bool isFailing)
{
    m_executors[upstream].isFailing = isFailing;
}

void simulated_fleet::setEligible(const zone_name &zone, bool isEligible)
{
    for (executor &each : m_executors)
        each.isEligible = each.vm.zone == zone ? isEligible : each.isEligible;
    refreshUpstreams();
}

void simulated_fleet::setDelay(std::chrono::microseconds jitter, double loss, double repetition)
{
    m_options.jitter = jitter;
    m_options.loss = loss;
    m_options.repetition = repetition;
}

void simulated_fleet::setConfirmed(std::size_t index, bool isConfirmed)
{
    m_daemons[index].client->setConfirmed(isConfirmed);
}

} // namespace azurelb::testing
