#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/heartbeat_membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/wire/peer.pb.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <iterator>

namespace azurelb {

namespace internal {

struct membership_metrics
{
    explicit membership_metrics(metrics &registry)
        : fresh{registry.gauge("azurelb_members_fresh",
                               "Daemons that echo heartbeats, including this one.")}
        , sent{registry.counter("azurelb_heartbeats_sent_total", "Heartbeats sent.")}
        , sentBytes{registry.counter("azurelb_heartbeat_bytes_sent_total",
                                     "Bytes of the heartbeats sent, without their envelopes.")}
        , redials{registry.counter("azurelb_peer_redials_total",
                                   "Reconnections to unresponsive peers.")}
    { }

    prometheus::Gauge &fresh;
    prometheus::Counter &sent;
    prometheus::Counter &sentBytes;
    prometheus::Counter &redials;
};

} // namespace internal

namespace {

/** Period of tick(). */
constexpr std::chrono::milliseconds timerPeriod{50};

/**
 * Number of heartbeats that announce a shutdown to each peer; more than one because one may be
 * lost.
 */
constexpr int leaveHeartbeats{2};

std::vector<member> membersOnlyIn(const std::vector<member> &left, const std::vector<member> &right)
{
    std::vector<member> only;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                        std::back_inserter(only));
    return only;
}

void logMembershipEvent(event id, const member &about)
{
    logEvent(id,
             {{"member", about.vm.value()}, {"incarnation", static_cast<std::uint64_t>(about.id)}});
}

} // namespace

heartbeat_membership::heartbeat_membership(boost::asio::io_context &context,
                                           const clock_source &clock,
                                           const heartbeat_options &options)
    : m_timer{context}
    , m_clock{clock}
    , m_options{options}
{ }

heartbeat_membership::~heartbeat_membership() = default;

void heartbeat_membership::start(kernel &services)
{
    m_transport = &services.find<peer_transport>(peer_transport::serviceName);
    m_metrics = std::make_unique<internal::membership_metrics>(
        services.find<metrics>(metrics::serviceName));
    const member self{m_transport->self(), m_transport->selfIncarnation()};
    m_detector = std::make_unique<failure_detector>(self, m_options);
    m_transport->subscribe(serviceName,
                           [this](const wire::envelope &envelope) { onEnvelope(envelope); });
    m_freshMembers = freshMembers();
    m_nextHeartbeatAt = m_clock.now();
    schedule();
}

void heartbeat_membership::stop() noexcept
{
    m_timer.cancel();
}

std::vector<member> heartbeat_membership::freshMembers() const
{
    return m_detector->freshMembers(m_clock.now());
}

void heartbeat_membership::subscribe(std::function<void()> changed)
{
    m_subscribers.push_back(std::move(changed));
}

void heartbeat_membership::setPeers(const std::vector<vm_id> &vms)
{
    m_detector->setPeers(vms, m_clock.now());
}

void heartbeat_membership::setReplicaStateHandlers(replica_state_writer writer,
                                                   replica_state_handler reader)
{
    m_stateWriter = std::move(writer);
    m_stateHandler = std::move(reader);
}

void heartbeat_membership::setRedialHandler(redial_handler redial)
{
    m_redialHandler = std::move(redial);
}

void heartbeat_membership::sendHeartbeats()
{
    const time_point now = m_clock.now();
    m_nextHeartbeatAt = now + m_options.period;
    m_detector->beginRound(now);
    for (const vm_id &vm : m_detector->destinations(now))
        send(vm);
}

void heartbeat_membership::sendHeartbeatTo(const vm_id &to)
{
    m_detector->beginRound(m_clock.now());
    send(to);
}

void heartbeat_membership::leave()
{
    m_detector->leave();
    for (int count = 0; count < leaveHeartbeats; ++count)
        sendHeartbeats();
    notifyIfChanged();
}

bool heartbeat_membership::isLeaving(const member &id) const noexcept
{
    return m_detector->isLeaving(id);
}

std::size_t heartbeat_membership::countKnownVms() const
{
    return m_detector->countKnownVms(m_clock.now());
}

void heartbeat_membership::tick()
{
    const time_point now = m_clock.now();
    if (now >= m_nextHeartbeatAt)
        sendHeartbeats();
    for (const vm_id &vm : m_detector->takeUnresponsivePeers(now)) {
        m_metrics->redials.Increment();
        logEvent(event::peer_silent, {{"peer", vm.value()}});
        if (m_redialHandler)
            m_redialHandler(vm);
    }
    notifyIfChanged();
}

void heartbeat_membership::schedule()
{
    m_timer.expires_after(timerPeriod);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        tick();
        schedule();
    });
}

void heartbeat_membership::send(const vm_id &to)
{
    wire::heartbeat heartbeat = m_detector->composeHeartbeat(to);
    if (m_stateWriter)
        m_stateWriter(*heartbeat.mutable_replica());
    m_metrics->sent.Increment();
    m_metrics->sentBytes.Increment(static_cast<double>(heartbeat.ByteSizeLong()));
    m_transport->send(to, serviceName, heartbeat);
}

void heartbeat_membership::onEnvelope(const wire::envelope &envelope)
{
    wire::heartbeat heartbeat;
    if (!heartbeat.ParseFromString(envelope.payload()))
        return;
    const member from{vm_id{envelope.from_vm()}, incarnation{envelope.from_incarnation()}};
    const auto echoedSentAt = m_detector->receiveHeartbeat(from, heartbeat, m_clock.now());
    if (echoedSentAt && m_stateHandler)
        m_stateHandler(from, *echoedSentAt, heartbeat.replica());
    notifyIfChanged();
}

void heartbeat_membership::notifyIfChanged()
{
    std::vector<member> now = freshMembers();
    if (now == m_freshMembers)
        return;
    logChange(m_freshMembers, now);
    m_freshMembers = std::move(now);
    m_metrics->fresh.Set(static_cast<double>(m_freshMembers.size()));
    for (const auto &changed : m_subscribers)
        changed();
}

void heartbeat_membership::logChange(const std::vector<member> &before,
                                     const std::vector<member> &after) const
{
    for (const member &joined : membersOnlyIn(after, before))
        logMembershipEvent(event::member_joined, joined);
    for (const member &gone : membersOnlyIn(before, after))
        logMembershipEvent(isLeaving(gone) ? event::member_left : event::member_lost, gone);
}

} // namespace azurelb
