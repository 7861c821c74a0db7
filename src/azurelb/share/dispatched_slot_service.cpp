#include <azurelb/share/dispatched_slot_service.hpp>

#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/core/rendezvous.hpp>
#include <azurelb/limits/limit_service.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/share/pool_state.hpp>
#include <azurelb/share/share_codec.hpp>
#include <azurelb/upstream/upstream_directory.hpp>
#include <azurelb/wire/peer.pb.h>
#include <azurelb/wire/share.pb.h>

#include <boost/asio/post.hpp>

#include <xxhash.h>

#include <algorithm>

namespace azurelb {

namespace {

using namespace std::chrono_literals;

constexpr duration publishInterval{1s};

/** Returns the start of an id range that differs by process, pool and time. */
[[nodiscard]] std::uint64_t firstId(incarnation process, const pool_name &pool, time_point at)
{
    const std::string &name = pool.value();
    const auto seed = static_cast<std::uint64_t>(process)
        ^ static_cast<std::uint64_t>(at.time_since_epoch().count());
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

} // namespace

dispatched_slot_service::dispatched_slot_service(boost::asio::io_context &loop,
                                                 const clock_source &clock,
                                                 const share_options &options)
    : m_loop{loop}
    , m_clock{clock}
    , m_options{options}
    , m_timer{loop}
{ }

dispatched_slot_service::~dispatched_slot_service() = default;

member dispatched_slot_service::self() const
{
    return {m_transport->self(), m_transport->selfIncarnation()};
}

void dispatched_slot_service::start(kernel &services)
{
    m_transport = &services.find<peer_transport>(peer_transport::serviceName);
    m_members = &services.find<membership>(membership::serviceName);
    m_directory = &services.find<upstream_directory>(upstream_directory::serviceName);
    m_documents = &services.find<document_source>(document_source::serviceName);
    m_metrics = &services.find<metrics>(metrics::serviceName);
    auto &limits = services.find<limit_service>(limit_service::serviceName);
    m_rights = std::make_unique<rights_broker>(limits);
    m_isStopped = false;
    m_transport->subscribe(serviceName, [this](const auto &message) { receive(message); });
    m_members->subscribe([this] { refreshOwners(); });
    m_directory->subscribe([this] { refreshUpstreams(); });
    m_documents->subscribe([this] { refreshPools(); });
    limits.subscribe([this](const team_name &) {
        for (auto &[name, pool] : m_pools)
            pool->client.acquireRights();
        scheduleFlush();
    });
    refreshPools();
    scheduleTick();
}

void dispatched_slot_service::stop() noexcept
{
    m_isStopped = true;
    m_timer.cancel();
    m_handlers.clear();
}

pool_state &dispatched_slot_service::emplacePool(const pool_name &pool)
{
    std::unique_ptr<pool_state> &found = m_pools[pool];
    if (!found) {
        const std::uint64_t first = firstId(m_transport->selfIncarnation(), pool, m_clock.now());
        found = std::make_unique<pool_state>(m_options, *m_rights, first, *m_metrics, pool);
    }
    return *found;
}

void dispatched_slot_service::refreshPools()
{
    if (m_isStopped)
        return;
    const config_view_ptr config = m_documents->config();
    m_queues.clear();
    for (const wire::queue &queue : config->document().queues()) {
        const pool_name pool{queue.pool()};
        if (pool.empty())
            continue;
        pool_state &found = emplacePool(pool);
        found.queue = queue_name{queue.name()};
        m_queues[found.queue] = &found;
    }
    for (auto &[name, pool] : m_pools) {
        if (pool->ownDispatcher)
            pool->ownDispatcher->setShares(shares());
    }
    refreshUpstreams();
    refreshOwners();
}

void dispatched_slot_service::refreshUpstreams()
{
    if (m_isStopped)
        return;
    for (auto &[name, pool] : m_pools) {
        const std::vector<upstream_vm> eligible = m_directory->eligible(pool->queue);
        pool->client.setUpstreams(eligible, m_clock.now());
        if (pool->ownDispatcher)
            pool->ownDispatcher->setUpstreams(eligible);
    }
    scheduleFlush();
}

std::optional<member> dispatched_slot_service::ownerOf(const pool_name &pool,
                                                       const std::vector<member> &fresh) const
{
    std::vector<vm_id> vms;
    for (const member &each : fresh) {
        if (!m_isDraining || each != self())
            vms.push_back(each.vm);
    }
    const vm_id *owner = rendezvousOwner(vms, pool.value());
    if (!owner)
        return self();
    const auto found = std::find_if(fresh.begin(), fresh.end(),
                                    [owner](const member &each) { return each.vm == *owner; });
    return *found;
}

void dispatched_slot_service::makeDispatcher(pool_state &pool, const std::vector<member> &fresh)
{
    const time_point now = m_clock.now();
    const auto sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t first = firstId(m_transport->selfIncarnation(), pool.name, now);
    pool.ownDispatcher = std::make_unique<dispatcher>(m_options, first, sequence, now);
    pool.ownDispatcher->setMembers(fresh);
    pool.ownDispatcher->setShares(shares());
    pool.ownDispatcher->setUpstreams(m_directory->eligible(pool.queue));
}

void dispatched_slot_service::refreshOwner(pool_state &pool, const std::vector<member> &fresh)
{
    if (pool.ownDispatcher)
        pool.ownDispatcher->setMembers(fresh);
    const std::optional<member> owner = ownerOf(pool.name, fresh);
    if (owner == pool.owner)
        return;
    pool.owner = owner;
    pool.client.changeDispatcher();
    pool.poolMetrics.countDispatcherChange();
    logEvent(event::dispatcher_changed,
             {{"pool", pool.name.value()}, {"dispatcher", owner->vm.value()}});
    pool.ownDispatcher.reset();
    if (*owner == self())
        makeDispatcher(pool, fresh);
}

void dispatched_slot_service::refreshOwners()
{
    if (m_isStopped)
        return;
    const std::vector<member> fresh = m_members->freshMembers();
    for (auto &[name, pool] : m_pools)
        refreshOwner(*pool, fresh);
    scheduleFlush();
}

std::vector<team_share> dispatched_slot_service::shares() const
{
    std::vector<team_share> all;
    for (const wire::team &team : m_documents->config()->document().teams())
        all.push_back({team_name{team.name()}, std::max(team.share(), 1U)});
    return all;
}

pool_state *dispatched_slot_service::findPool(const queue_name &queue)
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? nullptr : found->second;
}

ticket_id dispatched_slot_service::request(const slot_request &wanted, slot_handler done)
{
    const ticket_id ticket{m_nextTicket++};
    m_handlers.emplace(ticket, std::move(done));
    pool_state *pool = findPool(wanted.queue);
    if (pool) {
        m_tickets.emplace(ticket, pool);
        pool->client.request(ticket, wanted, m_clock.now());
    } else {
        m_unknownQueueTickets.push_back(ticket);
    }
    scheduleFlush();
    return ticket;
}

void dispatched_slot_service::cancel(ticket_id ticket)
{
    m_handlers.erase(ticket);
    const auto found = m_tickets.find(ticket);
    if (found != m_tickets.end() && found->second->client.cancel(ticket))
        m_tickets.erase(found);
    scheduleFlush();
}

void dispatched_slot_service::release(lease_id lease, attempt_outcome outcome)
{
    const time_point now = m_clock.now();
    for (auto &[name, pool] : m_pools) {
        if (pool->client.release(lease, outcome, now))
            break;
    }
    scheduleFlush();
}

void dispatched_slot_service::drain()
{
    m_isDraining = true;
    for (auto &[name, pool] : m_pools)
        pool->client.drain();
    refreshOwners();
}

void dispatched_slot_service::scheduleFlush()
{
    if (m_isFlushScheduled || m_isStopped)
        return;
    m_isFlushScheduled = true;
    boost::asio::post(m_loop, [this] {
        m_isFlushScheduled = false;
        flush();
    });
}

void dispatched_slot_service::scheduleTick()
{
    m_timer.expires_after(m_isFlushUrgent ? m_options.urgentInterval : m_options.routineInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error || m_isStopped)
            return;
        flush();
        scheduleTick();
    });
}

void dispatched_slot_service::flush()
{
    if (m_isStopped)
        return;
    const bool wasFlushUrgent = m_isFlushUrgent;
    m_isFlushUrgent = false;
    for (const ticket_id ticket : std::exchange(m_unknownQueueTickets, {}))
        deliver({ticket, slot_grant{slot_refusal::no_upstream}});
    for (auto &[name, pool] : m_pools) {
        flushClient(*pool);
        flushDispatcher(*pool);
    }
    m_rights->flush();
    publish();
    if (m_isFlushUrgent && !wasFlushUrgent)
        scheduleTick();
}

void dispatched_slot_service::flushClient(pool_state &pool)
{
    const time_point now = m_clock.now();
    pool.client.setConfirmed(m_documents->isConfirmed());
    pool.client.poll(now);
    for (const ticket_grant &granted : pool.client.takeGrants()) {
        pool.poolMetrics.count(granted.grant);
        deliver(granted);
    }
    if (const auto report = pool.client.takeReport(now))
        send(pool, *report);
    m_isFlushUrgent = m_isFlushUrgent || pool.client.isUrgent();
}

void dispatched_slot_service::flushDispatcher(pool_state &pool)
{
    if (!pool.ownDispatcher)
        return;
    const time_point now = m_clock.now();
    for (const addressed_assignment &made : pool.ownDispatcher->poll(now))
        send(pool, made);
    m_isFlushUrgent = m_isFlushUrgent || pool.ownDispatcher->isPending();
    const std::size_t open = pool.ownDispatcher->openCircuits();
    if (open != pool.openCircuits)
        logEvent(open > pool.openCircuits ? event::circuit_opened : event::circuit_closed,
                 {{"pool", pool.name.value()}, {"open", open}});
    pool.openCircuits = open;
}

void dispatched_slot_service::deliver(const ticket_grant &granted)
{
    m_tickets.erase(granted.ticket);
    const auto found = m_handlers.find(granted.ticket);
    if (found == m_handlers.end()) {
        if (granted.grant.refusal == slot_refusal::none)
            release(granted.grant.lease, attempt_outcome::cancelled);
        return;
    }
    const slot_handler done = std::move(found->second);
    m_handlers.erase(found);
    done(granted.grant);
}

void dispatched_slot_service::send(const pool_state &pool, const slot_report &report)
{
    if (!pool.owner)
        return;
    if (pool.ownDispatcher) {
        pool.ownDispatcher->apply(self(), report, m_clock.now());
        return;
    }
    wire::share_message message;
    message.set_pool(pool.name.value());
    message.set_to_incarnation(static_cast<std::uint64_t>(pool.owner->id));
    encode(report, *message.mutable_report());
    m_transport->send(pool.owner->vm, serviceName, message);
}

void dispatched_slot_service::send(const pool_state &pool, const addressed_assignment &made)
{
    if (made.to == self()) {
        m_pools[pool.name]->client.apply(made.assignment, m_clock.now());
        scheduleFlush();
        return;
    }
    wire::share_message message;
    message.set_pool(pool.name.value());
    message.set_to_incarnation(static_cast<std::uint64_t>(made.to.id));
    encode(made.assignment, *message.mutable_assignment());
    m_transport->send(made.to.vm, serviceName, message);
}

void dispatched_slot_service::receive(const wire::envelope &envelope)
{
    wire::share_message message;
    if (m_isStopped || !message.ParseFromString(envelope.payload()))
        return;
    if (message.to_incarnation() != static_cast<std::uint64_t>(m_transport->selfIncarnation()))
        return;
    const auto found = m_pools.find(pool_name{message.pool()});
    const member from{vm_id{envelope.from_vm()}, incarnation{envelope.from_incarnation()}};
    if (found != m_pools.end())
        receive(*found->second, from, message);
}

void dispatched_slot_service::receive(pool_state &pool, const member &from,
                                      const wire::share_message &message)
{
    const time_point now = m_clock.now();
    if (message.has_report() && pool.ownDispatcher)
        pool.ownDispatcher->apply(from, decode(message.report()), now);
    else if (message.has_assignment() && from == pool.owner)
        pool.client.apply(decode(message.assignment()), now);
    scheduleFlush();
}

void dispatched_slot_service::publish()
{
    const time_point now = m_clock.now();
    if (now - m_publishedAt < publishInterval)
        return;
    m_publishedAt = now;
    for (auto &[name, pool] : m_pools) {
        const dispatcher_client &client = pool->client;
        pool->poolMetrics.setClient(client.queue().waiting(), client.slots().size(),
                                    client.slots().busy());
        for (const team_load &load : client.queue().loads(now))
            pool->poolMetrics.setUsedSlotTime(load.team, load.used);
        const dispatcher *ownDispatcher = pool->ownDispatcher.get();
        pool->poolMetrics.setDispatcher(ownDispatcher ? ownDispatcher->held() : 0,
                                        ownDispatcher ? ownDispatcher->capacity() : 0,
                                        ownDispatcher ? ownDispatcher->openCircuits() : 0);
    }
}

} // namespace azurelb
