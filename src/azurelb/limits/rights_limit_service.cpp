#include <azurelb/limits/rights_limit_service.hpp>

#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/limits/rights_wire.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/store/store.hpp>
#include <azurelb/store/store_reply.hpp>
#include <azurelb/wire/peer.pb.h>

#include <boost/asio/post.hpp>

#include <string>

namespace azurelb {

namespace {

constexpr std::chrono::milliseconds storeTimeout{2000};

/** Time beyond the maximum request time after which a reclaim counts as blocked. */
constexpr std::chrono::seconds reclaimGrace{30};

wire::etcd::txn_request readRequest()
{
    wire::etcd::txn_request request;
    request.add_success()->mutable_request_range()->set_key(
        std::string{rights_limit_service::documentKey});
    return request;
}

wire::etcd::txn_request writeRequest(const wire::rights_document &next, revision expected)
{
    wire::etcd::txn_request request;
    wire::etcd::compare &compare = *request.add_compare();
    compare.set_target(wire::etcd::compare::MOD);
    compare.set_result(wire::etcd::compare::EQUAL);
    compare.set_key(std::string{rights_limit_service::documentKey});
    compare.set_mod_revision(static_cast<std::int64_t>(expected));
    wire::etcd::put_request &put = *request.add_success()->mutable_request_put();
    put.set_key(std::string{rights_limit_service::documentKey});
    put.set_value(next.SerializeAsString());
    return request;
}

rights_limits limitsOf(const config_view &config)
{
    rights_limits limits;
    limits.configRevision = config.storeRevision();
    for (const wire::team &team : config.document().teams())
        limits.limits[team_name{team.name()}] = team.limit();
    return limits;
}

} // namespace

rights_limit_service::rights_limit_service(boost::asio::io_context &loop, const clock_source &clock,
                                           const departure_source &departures,
                                           const rights_options &options)
    : m_loop{loop}
    , m_clock{clock}
    , m_departures{departures}
    , m_options{options}
    , m_timer{loop}
    , m_alive{std::make_shared<rights_limit_service *>(this)}
{ }

rights_limit_service::~rights_limit_service() = default;

void rights_limit_service::start(kernel &services)
{
    m_transport = &services.find<peer_transport>(peer_transport::serviceName);
    m_membership = &services.find<membership>(membership::serviceName);
    m_store = &services.find<store>(store::serviceName);
    m_documents = &services.find<document_source>(document_source::serviceName);
    m_metrics.emplace(services.find<metrics>(metrics::serviceName));
    const member self{m_transport->self(), m_transport->selfIncarnation()};
    m_protocol.emplace(self, m_options, m_departures);
    m_transport->subscribe(serviceName, [this](const wire::envelope &envelope) {
        wire::rights_message message;
        if (!message.ParseFromString(envelope.payload()))
            return;
        const member from{vm_id{envelope.from_vm()}, incarnation{envelope.from_incarnation()}};
        m_protocol->receive(from, message, m_clock.now());
        notify();
    });
    m_membership->subscribe([this] { m_protocol->setFresh(m_membership->freshMembers()); });
    m_documents->subscribe([this] { updateDocuments(); });
    m_protocol->setFresh(m_membership->freshMembers());
    updateDocuments();
    scheduleTick();
}

void rights_limit_service::stop() noexcept
{
    m_alive.reset();
    m_timer.cancel();
    if (m_transport)
        m_transport->subscribe(serviceName, [](const wire::envelope &) {});
}

bool rights_limit_service::acquire(const team_name &team)
{
    m_protocol->setConfirmed(m_documents->isConfirmed());
    return m_protocol->acquire(team, m_clock.now());
}

void rights_limit_service::release(const team_name &team)
{
    m_protocol->release(team, m_clock.now());
    if (!m_waiting.contains(team))
        return;
    boost::asio::post(m_loop, [this, alive = std::weak_ptr{m_alive}] {
        if (!alive.expired())
            notify();
    });
}

void rights_limit_service::setDemand(const team_name &team, std::uint32_t waiting)
{
    m_protocol->setDemand(team, waiting, m_clock.now());
    if (waiting > 0)
        m_waiting.insert(team);
    else
        m_waiting.erase(team);
}

void rights_limit_service::subscribe(handler available)
{
    m_handlers.push_back(std::move(available));
}

void rights_limit_service::handOver()
{
    m_protocol->handOver();
}

rights_status rights_limit_service::status(const team_name &team) const
{
    return m_protocol->status(team);
}

void rights_limit_service::scheduleTick()
{
    m_timer.expires_after(m_options.tickInterval);
    m_timer.async_wait([this, alive = std::weak_ptr{m_alive}](boost::system::error_code error) {
        if (error || alive.expired())
            return;
        tick();
        scheduleTick();
    });
}

void rights_limit_service::tick()
{
    const time_point now = m_clock.now();
    m_protocol->setConfirmed(m_documents->isConfirmed());
    for (const outgoing_rights_message &each : m_protocol->tick(now))
        m_transport->send(each.to.vm, serviceName, each.message);
    if (m_protocol->isCoordinator() && !m_storeBusy && now - m_readAt >= m_options.refreshInterval)
        readDocument(now);
    notify();
    if (now - m_publishedAt >= m_options.refreshInterval)
        publish(now);
}

void rights_limit_service::updateDocuments()
{
    const config_view_ptr config = m_documents->config();
    // Mint a new limit without waiting for the next periodic read.
    if (config->storeRevision() != m_configAt)
        m_readAt = time_point{};
    m_configAt = config->storeRevision();
    m_protocol->setLimits(limitsOf(*config));
    m_protocol->setConfirmed(m_documents->isConfirmed());
}

void rights_limit_service::readDocument(time_point now)
{
    m_readAt = now;
    m_storeBusy = true;
    const auto done = [this, now, alive = std::weak_ptr{m_alive}](const store_reply &reply) {
        if (!alive.expired())
            handleReadReply(reply, now);
    };
    m_store->read(readRequest(), storeTimeout, done);
}

void rights_limit_service::handleReadReply(const store_reply &reply, time_point begun)
{
    m_storeBusy = false;
    const bool works = reply.error == store_error::none && reply.response.responses_size() == 1;
    setStoreWorks(works);
    if (!works)
        return;
    const auto &range = reply.response.responses(0).response_range();
    if (range.kvs_size() == 1) {
        wire::rights_document document;
        if (!document.ParseFromString(range.kvs(0).value())) {
            setStoreWorks(false);
            return;
        }
        m_protocol->adoptRead(document, revision{range.kvs(0).mod_revision()}, begun);
    }
    commitProposal();
}

void rights_limit_service::commitProposal()
{
    const time_point now = m_clock.now();
    const auto next = m_protocol->proposeDocument(now);
    if (!next)
        return;
    m_storeBusy = true;
    const auto done = [this, now, next = *next,
                       alive = std::weak_ptr{m_alive}](const store_reply &reply) {
        if (!alive.expired())
            handleCommitReply(reply, next, now);
    };
    m_store->commit(writeRequest(*next, m_protocol->documentRevision()), storeTimeout, done);
}

void rights_limit_service::handleCommitReply(const store_reply &reply,
                                             const wire::rights_document &next, time_point begun)
{
    m_storeBusy = false;
    setStoreWorks(reply.error == store_error::none);
    // After a lost reply, the next read returns the committed document.
    if (reply.error != store_error::none || !reply.response.succeeded())
        return;
    const int rows = m_protocol->document().holders_size();
    if (next.holders_size() < rows)
        logEvent(event::rights_reclaimed, {{"holders", rows - next.holders_size()}});
    m_protocol->adoptRead(next, revision{reply.response.header().revision()}, begun);
    notify();
}

void rights_limit_service::setStoreWorks(bool works)
{
    if (works == !m_storeFailed)
        return;
    m_storeFailed = !works;
    logEvent(works ? event::rights_store_restored : event::rights_store_failed);
}

void rights_limit_service::notify()
{
    if (!m_protocol->isUsable(m_clock.now()))
        return;
    for (const team_name &team : std::set<team_name>{m_waiting}) {
        if (m_protocol->freeCount(team) <= 0)
            continue;
        for (const handler &available : m_handlers)
            available(team);
    }
}

bool rights_limit_service::isClosed() const noexcept
{
    return m_protocol && m_protocol->isClosed();
}

void rights_limit_service::publish(time_point now)
{
    m_publishedAt = now;
    const config_view_ptr config = m_documents->config();
    for (const wire::team &team : config->document().teams())
        publishTeam(team_name{team.name()});
    m_metrics->publishMoved(m_protocol->moved());
    warnOfBlockedReclaim(now);
    if (!m_protocol->isClosed() || m_closedLogged)
        return;
    m_closedLogged = true;
    logEvent(event::rights_closed);
}

void rights_limit_service::publishTeam(const team_name &team)
{
    const rights_status status = m_protocol->status(team);
    m_metrics->publish(team, status);
    if (status.inForce && m_pending.erase(team) > 0)
        logEvent(event::limit_in_force, {{"team", team.value()}, {"limit", status.limit}});
    const bool above = status.minted > status.limit;
    if (above && m_pending.insert(team).second)
        logEvent(event::limit_pending,
                 {{"team", team.value()}, {"limit", status.limit}, {"rights", status.minted}});
}

void rights_limit_service::warnOfBlockedReclaim(time_point now)
{
    if (!m_protocol->isCoordinator() || m_protocol->closingHolders().empty()) {
        m_closingSince.reset();
        return;
    }
    if (!m_closingSince)
        m_closingSince = now;
    if (now - *m_closingSince < m_options.maxRequestTime + reclaimGrace)
        return;
    m_closingSince = now;
    for (const member &each : m_protocol->holdersWithoutStatement())
        logEvent(event::reclaim_blocked, {{"waits_for", each.vm.value()}});
}

} // namespace azurelb
