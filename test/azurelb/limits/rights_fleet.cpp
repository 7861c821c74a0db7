#include "rights_fleet.hpp"

#include <azurelb/limits/rights_wire.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace azurelb::test {

rights_fleet::rights_fleet(std::size_t size, rights_options with, unsigned seed)
    : options{with}
    , m_random{seed}
{
    for (std::size_t index = 0; index < size; ++index)
        start("entry-" + std::to_string(index));
}

fake_daemon &rights_fleet::start(const std::string &vm)
{
    auto daemon = std::make_unique<fake_daemon>();
    daemon->id = member{vm_id{vm}, incarnation{++m_lastIncarnation}};
    daemon->ledger = std::make_unique<rights_ledger>(daemon->id, options, departures);
    daemons.push_back(std::move(daemon));
    updateViews(*daemons.back());
    return *daemons.back();
}

void rights_fleet::kill(fake_daemon &daemon)
{
    daemon.killed = true;
    daemon.backlog.clear();
}

void rights_fleet::resume(fake_daemon &daemon)
{
    daemon.paused = false;
    for (const auto &event : std::exchange(daemon.backlog, {}))
        event();
    endOverdue(daemon);
}

void rights_fleet::depart(fake_daemon &daemon)
{
    departures.gone.insert(daemon.id);
}

void rights_fleet::setLimit(const team_name &team, right_count limit)
{
    m_limits.limits[team] = limit;
    m_limits.at = revision{static_cast<std::int64_t>(m_limits.at) + 1};
    m_bounds[team] = std::max(m_bounds[team], limit);
}

bool rights_fleet::acquire(fake_daemon &daemon, const team_name &team)
{
    if (!daemon.isUp() || !daemon.ledger->acquire(team, now))
        return false;
    ++daemon.running[team];
    daemon.deadlines[team].push_back(now + options.hold);
    return true;
}

void rights_fleet::release(fake_daemon &daemon, const team_name &team)
{
    if (!daemon.isUp() || daemon.running[team] == 0)
        return;
    --daemon.running[team];
    daemon.deadlines[team].pop_front();
    daemon.ledger->release(team, now);
}

void rights_fleet::acquireAll(fake_daemon &daemon, const team_name &team, right_count most)
{
    while (daemon.running[team] < most && acquire(daemon, team))
        continue;
}

void rights_fleet::releaseAll(fake_daemon &daemon, const team_name &team, right_count least)
{
    while (daemon.isUp() && daemon.running[team] > least)
        release(daemon, team);
}

void rights_fleet::setDemand(fake_daemon &daemon, const team_name &team, right_count waiting)
{
    if (daemon.isUp())
        daemon.ledger->setDemand(team, waiting, now);
    daemon.waiting[team] = waiting;
}

void rights_fleet::advance(duration time)
{
    for (const time_point end = now + time; now < end;) {
        now += options.tick;
        step();
    }
}

right_count rights_fleet::running(const team_name &team) const
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

right_count rights_fleet::held(const team_name &team) const
{
    right_count sum = 0;
    for (const auto &daemon : daemons) {
        if (!daemon->killed && !daemon->ledger->isClosed())
            sum += daemon->ledger->status(team).held;
    }
    return sum;
}

void rights_fleet::verify() const
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

void rights_fleet::after(duration delay, std::function<void()> event)
{
    m_events.emplace(now + delay, std::move(event));
}

void rights_fleet::deliver(fake_daemon &to, std::function<void()> event)
{
    if (to.killed)
        return;
    if (to.paused)
        to.backlog.push_back(std::move(event));
    else
        event();
}

void rights_fleet::step()
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
    settleBounds();
}

void rights_fleet::tick(fake_daemon &daemon)
{
    updateViews(daemon);
    for (const outgoing_rights &message : daemon.ledger->tick(now))
        send(daemon, message);
    if (now - daemon.cycleAt >= options.refresh && daemon.ledger->isCoordinator()) {
        daemon.cycleAt = now;
        read(daemon);
    }
}

void rights_fleet::updateViews(fake_daemon &daemon)
{
    std::vector<member> fresh;
    std::size_t alive = 0;
    std::size_t reached = 0;
    for (const auto &other : daemons) {
        alive += other->killed ? 0 : 1;
        if (!other->isUp() || !reach(*other, daemon))
            continue;
        fresh.push_back(other->id);
        ++reached;
    }
    if (fresh != daemon.fresh)
        daemon.ledger->setFresh(fresh);
    daemon.fresh = std::move(fresh);
    const bool confirmed = storeAnswers(daemon) || 2 * reached > alive;
    daemon.ledger->setConfirmed(confirmed);
    if (confirmed && m_random() % configLag == 0)
        daemon.ledger->setLimits(m_limits);
}

void rights_fleet::send(fake_daemon &from, const outgoing_rights &message)
{
    constexpr std::size_t envelopeBytes{40};
    from.bytesSent += message.message.ByteSizeLong() + envelopeBytes;
    std::vector<fake_daemon *> named;
    for (const auto &daemon : daemons) {
        if (!daemon->killed && daemon->id.vm == message.to.vm)
            named.push_back(daemon.get());
    }
    std::uniform_real_distribution<double> chance{0, 1};
    if (named.empty() || chance(m_random) < network.loss)
        return;
    fake_daemon &to = *named[m_random() % named.size()];
    const int copies = chance(m_random) < network.repeat ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto extra = std::chrono::duration_cast<duration>(network.jitter * chance(m_random));
        after(network.delay + extra, [this, &from, &to, sent = message.message] {
            if (!reach(from, to))
                return;
            deliver(to, [this, id = from.id, &to, sent] { to.ledger->receive(id, sent, now); });
        });
    }
}

void rights_fleet::read(fake_daemon &by)
{
    ++storeCalls;
    after(storeDelay, [this, &by, begun = now] {
        if (!storeAnswers(by) || answersLost)
            return;
        after(storeDelay, [this, &by, begun, found = document, foundAt = at] {
            deliver(by, [this, &by, begun, found, foundAt] {
                by.ledger->adoptRead(found, foundAt, begun);
                if (const auto next = by.ledger->plan(now))
                    commit(by, *next, by.ledger->at());
            });
        });
    });
}

void rights_fleet::commit(fake_daemon &by, const wire::rights_document &next, revision expected)
{
    ++storeCalls;
    after(storeDelay, [this, &by, next, expected, begun = now] {
        if (!storeAnswers(by) || at != expected)
            return;
        document = next;
        at = revision{static_cast<std::int64_t>(at) + 1};
        if (answersLost)
            return;
        after(storeDelay, [this, &by, next, begun, writtenAt = at] {
            deliver(by, [&by, next, begun, writtenAt] {
                by.ledger->adoptRead(next, writtenAt, begun);
            });
        });
    });
}

void rights_fleet::settleBounds()
{
    const team_counts minted = internal::mintedOf(document);
    if (document.config_revision() < static_cast<std::int64_t>(m_limits.at))
        return;
    for (auto &[team, bound] : m_bounds) {
        const auto found = minted.find(team);
        const right_count rights = found == minted.end() ? 0 : found->second;
        if (rights <= m_limits.find(team))
            bound = m_limits.find(team);
    }
}

void rights_fleet::endOverdue(fake_daemon &daemon)
{
    for (auto &[team, deadlines] : daemon.deadlines) {
        while (!deadlines.empty() && deadlines.front() <= now)
            release(daemon, team);
    }
}

bool rights_fleet::reach(const fake_daemon &from, const fake_daemon &to)
{
    return &from == &to || (!from.cutOut && !to.cutIn);
}

bool rights_fleet::storeAnswers(const fake_daemon &by) const
{
    return !storeDown && !by.storeCut;
}

} // namespace azurelb::test
