#include "simulated_fleet.hpp"

#include <azurelb/core/rendezvous.hpp>

#include <algorithm>

namespace azurelb::testing {

using namespace std::chrono_literals;

namespace {

const std::string poolName{"pool"};

[[nodiscard]] duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

[[nodiscard]] double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void simulated_fleet::transmit(std::size_t from, std::size_t to, std::function<void()> action)
{
    if (from == to)
        return action();
    ++m_messages;
    if (draw() < m_options.loss)
        return;
    const int copies = draw() < m_options.repetition ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const duration extra = fromSeconds(toSeconds(m_options.jitter) * draw());
        scheduleAt(to, m_now + m_options.delay + extra, action);
    }
}

void simulated_fleet::sendReport(std::size_t from, const slot_report &report)
{
    const std::optional<member> owner = m_daemons[from].owner;
    const member sender = m_daemons[from].id;
    for (std::size_t to = 0; to < m_daemons.size(); ++to) {
        if (owner != m_daemons[to].id)
            continue;
        transmit(from, to, [this, to, sender, report] {
            if (!m_daemons[to].ownDispatcher)
                return;
            m_daemons[to].ownDispatcher->apply(sender, report, m_now);
            scheduleAt(to, m_now, [this, to] { flush(to); });
        });
    }
}

void simulated_fleet::sendAssignment(std::size_t from, const addressed_assignment &made)
{
    const member sender = m_daemons[from].id;
    for (std::size_t to = 0; to < m_daemons.size(); ++to) {
        if (made.to != m_daemons[to].id)
            continue;
        transmit(from, to, [this, to, sender, assignment = made.assignment] {
            if (sender != m_daemons[to].owner)
                return;
            m_daemons[to].client->apply(assignment, m_now);
            scheduleAt(to, m_now, [this, to] { flush(to); });
        });
    }
}

void simulated_fleet::refreshMembership()
{
    std::vector<member> fresh;
    std::vector<vm_id> vms;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (!m_isFresh[index])
            continue;
        fresh.push_back(m_daemons[index].id);
        vms.push_back(m_daemons[index].id.vm);
    }
    if (fresh.empty())
        return;
    const vm_id *vm = rendezvousOwner(vms, poolName);
    const auto owner = std::find_if(fresh.begin(), fresh.end(),
                                    [vm](const member &each) { return each.vm == *vm; });
    const std::uint64_t view = m_nextView++;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const time_point seenAt = m_now + fromSeconds(0.1 * draw());
        scheduleAt(index, seenAt, [this, index, view, fresh, to = *owner] {
            daemon &at = m_daemons[index];
            if (view < at.view)
                return;
            at.view = view;
            if (at.owner != to) {
                at.owner = to;
                m_dispatcherChangedAt = m_now;
                at.client->changeDispatcher();
                at.ownDispatcher.reset();
            }
            if (to == at.id && !at.ownDispatcher) {
                const auto first = static_cast<std::uint64_t>(m_now.time_since_epoch().count());
                const std::uint64_t slots = m_nextProcess++ << 32U;
                at.ownDispatcher =
                    std::make_unique<dispatcher>(m_options.share, slots, first, m_now);
                at.ownDispatcher->setShares(m_options.shares);
                at.ownDispatcher->setUpstreams(eligible());
            }
            if (at.ownDispatcher)
                at.ownDispatcher->setMembers(fresh);
        });
    }
}

void simulated_fleet::kill(std::size_t index)
{
    m_daemons[index].isAlive = false;
    schedule(m_now + m_options.detection, [this, index] {
        m_isFresh[index] = m_daemons[index].isAlive;
        refreshMembership();
    });
}

void simulated_fleet::replace(std::size_t index)
{
    if (m_daemons[index].isAlive)
        return;
    startDaemon(index, m_nextProcess++);
    m_isFresh[index] = true;
    refreshMembership();
}

void simulated_fleet::pause(std::size_t index, duration span)
{
    m_daemons[index].pausedUntil = m_now + span;
    if (span <= m_options.detection)
        return;
    schedule(m_now + m_options.detection, [this, index] {
        m_isFresh[index] = m_daemons[index].pausedUntil <= m_now;
        refreshMembership();
    });
}

void simulated_fleet::refreshUpstreams()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        scheduleAt(index, m_now + fromSeconds(0.05 * draw()), [this, index] {
            m_daemons[index].client->setUpstreams(eligible(), m_now);
            if (m_daemons[index].ownDispatcher)
                m_daemons[index].ownDispatcher->setUpstreams(eligible());
        });
    }
}

} // namespace azurelb::testing
