#include "simulated_fleet.hpp"

#include <azurelb/limits/rights_wire.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace azurelb::test {

simulated_fleet::simulated_fleet(std::size_t size, rights_options with, unsigned seed)
    : options{with}
    , m_random{seed}
{
    for (std::size_t index = 0; index < size; ++index)
        start("entry-" + std::to_string(index));
}

simulated_daemon &simulated_fleet::start(const std::string &vm)
{
    auto daemon = std::make_unique<simulated_daemon>();
    daemon->id = member{vm_id{vm}, incarnation{++m_lastIncarnation}};
    daemon->protocol = std::make_unique<rights_protocol>(daemon->id, options, departures);
    daemons.push_back(std::move(daemon));
    updateViews(*daemons.back());
    return *daemons.back();
}

void simulated_fleet::kill(simulated_daemon &daemon)
{
    daemon.killed = true;
    daemon.backlog.clear();
}

void simulated_fleet::resume(simulated_daemon &daemon)
{
    daemon.paused = false;
    for (const auto &event : std::exchange(daemon.backlog, {}))
        event();
    endOverdue(daemon);
}

void simulated_fleet::removeVm(simulated_daemon &daemon)
{
    departures.gone.insert(daemon.id);
}

void simulated_fleet::setLimit(const team_name &team, right_count limit)
{
    m_limits.limits[team] = limit;
    m_limits.configRevision = revision{static_cast<std::int64_t>(m_limits.configRevision) + 1};
    m_bounds[team] = std::max(m_bounds[team], limit);
}

bool simulated_fleet::acquire(simulated_daemon &daemon, const team_name &team)
{
    if (!daemon.isUp() || !daemon.protocol->acquire(team, now))
        return false;
    ++daemon.running[team];
    daemon.deadlines[team].push_back(now + options.maxRequestTime);
    return true;
}

void simulated_fleet::release(simulated_daemon &daemon, const team_name &team)
{
    if (!daemon.isUp() || daemon.running[team] == 0)
        return;
    --daemon.running[team];
    daemon.deadlines[team].pop_front();
    daemon.protocol->release(team, now);
}

void simulated_fleet::acquireAll(simulated_daemon &daemon, const team_name &team, right_count most)
{
    while (daemon.running[team] < most && acquire(daemon, team))
        continue;
}

void simulated_fleet::releaseAll(simulated_daemon &daemon, const team_name &team, right_count least)
{
    while (daemon.isUp() && daemon.running[team] > least)
        release(daemon, team);
}

void simulated_fleet::setDemand(simulated_daemon &daemon, const team_name &team,
                                right_count waiting)
{
    if (daemon.isUp())
        daemon.protocol->setDemand(team, waiting, now);
    daemon.waiting[team] = waiting;
}

void simulated_fleet::advance(duration time)
{
    for (const time_point end = now + time; now < end;) {
        now += options.tickInterval;
        step();
    }
}

right_count simulated_fleet::running(const team_name &team) const
{
    right_count sum = 0;
    for (const auto &daemon : daemons) {
        const auto found = daemon->deadlines.find(team);
        if (found == daemon->deadlines.end())
            continue;
        const auto &deadlines = found->second;
        sum += std::count_if(deadlines.begin(), deadlines.end(),
                             [this](time_point deadline) { return deadline > now; });
    }
    return sum;
}

right_count simulated_fleet::held(const team_name &team) const
{
    right_count sum = 0;
    for (const auto &daemon : daemons) {
        if (!daemon->killed && !daemon->protocol->isClosed())
            sum += daemon->protocol->status(team).held;
    }
    return sum;
}

void simulated_fleet::verify() const
{
    const team_counts minted = internal::mintedOf(document);
    for (const auto &[team, bound] : m_bounds) {
        const auto found = minted.find(team);
        const right_count rights = found == minted.end() ? 0 : found->second;
        if (running(team) <= bound && rights <= bound)
            continue;
        std::ostringstream text;
        text << team << ": " << running(team) << " running, " << rights << " minted, bound "
             << bound;
        throw std::logic_error(text.str());
    }
}

void simulated_fleet::schedule(duration delay, std::function<void()> event)
{
    m_events.emplace(now + delay, std::move(event));
}

void simulated_fleet::deliver(simulated_daemon &to, std::function<void()> event)
{
    if (to.killed)
        return;
    if (to.paused)
        to.backlog.push_back(std::move(event));
    else
        event();
}

void simulated_fleet::step()
{
    while (!m_events.empty() && m_events.begin()->first <= now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (std::size_t index = 0; index < daemons.size(); ++index) {
        if (!daemons[index]->isUp())
            continue;
        endOverdue(*daemons[index]);
        tick(*daemons[index]);
    }
    updateBounds();
}

void simulated_fleet::tick(simulated_daemon &daemon)
{
    updateViews(daemon);
    for (const outgoing_rights_message &message : daemon.protocol->tick(now))
        send(daemon, message);
    if (now - daemon.lastReadAt >= options.refreshInterval && daemon.protocol->isCoordinator()) {
        daemon.lastReadAt = now;
        read(daemon);
    }
}

void simulated_fleet::updateViews(simulated_daemon &daemon)
{
    std::vector<member> fresh;
    std::size_t alive = 0;
    std::size_t reached = 0;
    for (const auto &other : daemons) {
        alive += other->killed ? 0 : 1;
        if (!other->isUp() || !reaches(*other, daemon))
            continue;
        fresh.push_back(other->id);
        ++reached;
    }
    if (fresh != daemon.fresh)
        daemon.protocol->setFresh(fresh);
    daemon.fresh = std::move(fresh);
    const bool confirmed = storeAnswers(daemon) || 2 * reached > alive;
    daemon.protocol->setConfirmed(confirmed);
    if (confirmed && m_random() % configLag == 0)
        daemon.protocol->setLimits(m_limits);
}

void simulated_fleet::send(simulated_daemon &from, const outgoing_rights_message &message)
{
    constexpr std::size_t envelopeBytes{40};
    from.bytesSent += message.message.ByteSizeLong() + envelopeBytes;
    std::vector<simulated_daemon *> named;
    for (const auto &daemon : daemons) {
        if (!daemon->killed && daemon->id.vm == message.to.vm)
            named.push_back(daemon.get());
    }
    std::uniform_real_distribution<double> chance{0, 1};
    if (named.empty() || chance(m_random) < network.loss)
        return;
    simulated_daemon &to = *named[m_random() % named.size()];
    const int copies = chance(m_random) < network.repeat ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto extra = std::chrono::duration_cast<duration>(network.jitter * chance(m_random));
        schedule(network.delay + extra, [this, &from, &to, sent = message.message] {
            if (!reaches(from, to))
                return;
            deliver(to, [this, id = from.id, &to, sent] { to.protocol->receive(id, sent, now); });
        });
    }
}

void simulated_fleet::read(simulated_daemon &by)
{
    ++storeCalls;
    schedule(storeDelay, [this, &by, begun = now] {
        if (!storeAnswers(by) || answersLost)
            return;
        schedule(storeDelay, [this, &by, begun, found = document, foundAt = at] {
            deliver(by, [this, &by, begun, found, foundAt] {
                by.protocol->adoptRead(found, foundAt, begun);
                if (const auto next = by.protocol->proposeDocument(now))
                    commit(by, *next, by.protocol->documentRevision());
            });
        });
    });
}

void simulated_fleet::commit(simulated_daemon &by, const wire::rights_document &next,
                             revision expected)
{
    ++storeCalls;
    schedule(storeDelay, [this, &by, next, expected, begun = now] {
        if (!storeAnswers(by) || at != expected)
            return;
        document = next;
        at = revision{static_cast<std::int64_t>(at) + 1};
        if (answersLost)
            return;
        schedule(storeDelay, [this, &by, next, begun, writtenAt = at] {
            deliver(by, [&by, next, begun, writtenAt] {
                by.protocol->adoptRead(next, writtenAt, begun);
            });
        });
    });
}

void simulated_fleet::updateBounds()
{
    const team_counts minted = internal::mintedOf(document);
    if (document.config_revision() < static_cast<std::int64_t>(m_limits.configRevision))
        return;
    for (auto &[team, bound] : m_bounds) {
        const auto found = minted.find(team);
        const right_count rights = found == minted.end() ? 0 : found->second;
        if (rights <= m_limits.find(team))
            bound = m_limits.find(team);
    }
}

void simulated_fleet::endOverdue(simulated_daemon &daemon)
{
    for (auto &[team, deadlines] : daemon.deadlines) {
        while (!deadlines.empty() && deadlines.front() <= now)
            release(daemon, team);
    }
}

bool simulated_fleet::reaches(const simulated_daemon &from, const simulated_daemon &to)
{
    return &from == &to || (!from.cutOut && !to.cutIn);
}

bool simulated_fleet::storeAnswers(const simulated_daemon &by) const
{
    return !storeDown && !by.storeCut;
}

} // namespace azurelb::test
