#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/config_commit.hpp>
#include <azurelb/config/fleet_commit.hpp>
#include <azurelb/config/internal/document_metrics.hpp>
#include <azurelb/config/internal/store_keys.hpp>
#include <azurelb/config/replicated_documents.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/heartbeat_membership.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/store/store.hpp>
#include <azurelb/wire/replica.pb.h>

#include <boost/asio/post.hpp>

namespace azurelb {

namespace {

using namespace internal;

/** Period of tick(). */
constexpr std::chrono::milliseconds timerPeriod{50};

/** Time after which the state of a peer that no longer reports is discarded. */
constexpr std::chrono::minutes peerRetention{1};

/**
 * Maximum number of audit records in one fleet write; a store transaction is limited to 128
 * operations.
 */
constexpr std::size_t maxAuditRecords{100};

event eventOf(change_error error) noexcept
{
    if (error == change_error::none)
        return event::change_committed;
    return error == change_error::unknown ? event::change_unknown : event::change_refused;
}

void addReadIfNewer(wire::etcd::txn_request &request, std::string_view key, revision held)
{
    wire::etcd::range_request &range = addRange(*request.mutable_success(), key);
    range.set_min_mod_revision(static_cast<std::int64_t>(held) + 1);
}

} // namespace

replicated_documents::replicated_documents(boost::asio::io_context &context,
                                           const clock_source &clock,
                                           const replica_options &options)
    : m_timer{context}
    , m_clock{clock}
    , m_options{options}
{ }

replicated_documents::~replicated_documents() = default;

void replicated_documents::start(kernel &services)
{
    const time_point started = m_clock.now();
    m_store = &services.find<store>(store::serviceName);
    m_transport = &services.find<peer_transport>(peer_transport::serviceName);
    m_membership = &services.find<heartbeat_membership>(membership::serviceName);
    m_metrics = std::make_unique<document_metrics>(services.find<metrics>(metrics::serviceName));
    m_confirmation =
        std::make_unique<confirmation_tracker>(m_transport->self(), m_options, started);
    m_schedule = std::make_unique<poll_schedule>(m_transport->self(), m_options,
                                                 m_transport->selfIncarnation(), started);
    m_writes = std::make_unique<write_queue>(m_options, static_cast<write_environment &>(*this),
                                             *m_confirmation);
    m_audit = std::make_unique<audit_trail>(*m_store, m_options);
    m_nextTrimAt = started + m_options.auditTrimPeriod;
    m_exchange = std::make_unique<document_exchange>(*m_transport, m_documents, m_options,
                                                     [this](const vm_id &from) {
                                                         onDocumentsApplied();
                                                         m_membership->sendHeartbeatTo(from);
                                                     });
    m_membership->setReplicaStateHandlers(
        [this](wire::replica_state &state) { writeReplicaState(state); },
        [this](const member &from, time_point writtenAfter, const wire::replica_state &state) {
            onReplicaState(from, writtenAfter, state);
        });
    schedule();
}

void replicated_documents::stop() noexcept
{
    m_timer.cancel();
    m_alive.reset();
}

config_view_ptr replicated_documents::config() const noexcept
{
    return m_documents.config();
}

fleet_view_ptr replicated_documents::fleet() const noexcept
{
    return m_documents.fleet();
}

bool replicated_documents::isConfirmed() const noexcept
{
    return m_confirmation && m_confirmation->isConfirmed(m_clock.now());
}

void replicated_documents::subscribe(std::function<void()> changed)
{
    m_subscribers.push_back(std::move(changed));
}

void replicated_documents::submit(const wire::change &change, change_handler done)
{
    const reply_time at = now();
    auto report = [this, change, done = std::move(done)](const change_outcome &outcome) {
        reportChange(change, outcome);
        done(outcome);
    };
    m_writes->enqueue(std::make_unique<config_commit>(change, m_options, at.now, at.wallNow),
                      std::move(report));
}

void replicated_documents::replaceFleet(const wire::fleet_document &document, revision expected,
                                        const std::vector<wire::audit_record> &records,
                                        fleet_handler done)
{
    if (records.size() > maxAuditRecords) {
        boost::asio::post(m_timer.get_executor(), [done = std::move(done)] {
            done({change_error::invalid, "more than 100 audit records in one write", {}});
        });
        return;
    }
    const reply_time at = now();
    const std::string writeId = m_transport->self().value() + "-"
        + std::to_string(static_cast<std::uint64_t>(m_transport->selfIncarnation())) + "-"
        + std::to_string(++m_writeCount);
    auto write = std::make_unique<fleet_commit>(document, expected, records, writeId, m_options,
                                                at.now, at.wallNow);
    m_writes->enqueue(std::move(write), [done = std::move(done)](const change_outcome &outcome) {
        done({outcome.error, outcome.detail,
              revision{static_cast<std::int64_t>(outcome.result.revision())}});
    });
}

void replicated_documents::readAudit(std::size_t most, audit_handler done)
{
    m_metrics->reads.Increment();
    m_audit->read(most, m_clock.wallNow(), std::move(done));
}

void replicated_documents::tick()
{
    const time_point now = m_clock.now();
    m_confirmation->setKnownMembers(m_membership->countKnownVms());
    removeInactivePeers(now);
    m_confirmation->advance(now);
    const std::vector<poll_candidate> fresh = candidates();
    const bool staysConfirmed = m_confirmation->isConfirmed(now + m_options.readPeriod);
    if (m_schedule->isReadDue(fresh, staysConfirmed, now))
        readStore(now);
    m_writes->advance();
    trimAudit(fresh, now);
    publishState();
}

reply_time replicated_documents::now() const noexcept
{
    return {m_clock.now(), m_clock.wallNow()};
}

void replicated_documents::call(const store_write &write, store_handler done)
{
    const bool isRead = write.isRead();
    (isRead ? m_metrics->reads : m_metrics->commits).Increment();
    const revision required = isRead ? m_storeRevision : revision{};
    store_handler checked = [this, required, alive = std::weak_ptr{m_alive},
                             done = std::move(done)](const store_reply &reply) {
        if (alive.expired())
            return;
        const bool old = isStale(reply, required);
        recordStoreRevision(reply);
        done(old ? store_reply{store_error::refused, {}} : reply);
    };
    const auto method = isRead ? &store::read : &store::commit;
    (m_store->*method)(write.request(), m_options.commitTimeout, std::move(checked));
}

void replicated_documents::onCommitted(const store_write &write)
{
    write.applyTo(m_documents);
    onDocumentsApplied();
    m_membership->sendHeartbeats();
}

std::size_t replicated_documents::countFreshMembers() const
{
    return m_membership->freshMembers().size();
}

void replicated_documents::schedule()
{
    m_timer.expires_after(timerPeriod);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        tick();
        schedule();
    });
}

std::vector<poll_candidate> replicated_documents::candidates() const
{
    std::vector<poll_candidate> list;
    for (const member &each : m_membership->freshMembers()) {
        const auto known = m_peers.find(each);
        const bool self = each.vm == m_transport->self();
        const bool unreachable = self ? m_schedule->isStoreUnreachable()
                                      : known != m_peers.end() && known->second.storeUnreachable;
        list.push_back({each.vm, unreachable});
    }
    return list;
}

void replicated_documents::readStore(time_point now)
{
    wire::etcd::txn_request request;
    addReadIfNewer(request, configKey, m_documents.config()->storeRevision());
    addReadIfNewer(request, fleetKey, m_documents.fleet()->storeRevision());
    m_schedule->onReadSent(now);
    m_metrics->reads.Increment();
    m_store->read(request, m_options.readTimeout,
                  [this, now, required = m_storeRevision,
                   alive = std::weak_ptr{m_alive}](const store_reply &reply) {
                      if (!alive.expired())
                          onRead(reply, now, required);
                  });
}

void replicated_documents::onRead(const store_reply &reply, time_point sentAt, revision required)
{
    const bool wasUnreachable = m_schedule->isStoreUnreachable();
    const bool old = isStale(reply, required);
    const bool whole = reply.error == store_error::none && !old && applyRead(reply);
    m_schedule->onReadFinished(whole);
    if (old)
        logEvent(event::store_data_old, {{"required", static_cast<std::int64_t>(required)}});
    if (whole)
        m_confirmation->onStoreRead(sentAt);
    else
        m_metrics->failures.Increment();
    const bool isUnreachable = m_schedule->isStoreUnreachable();
    if (isUnreachable != wasUnreachable)
        logEvent(isUnreachable ? event::store_reads_failing : event::store_reads_resumed);
    onDocumentsApplied();
    m_writes->advance();
}

bool replicated_documents::applyRead(const store_reply &reply)
{
    recordStoreRevision(reply);
    bool whole = reply.response.responses_size() == 2;
    if (const auto *config = firstKeyValue(reply.response, 0)) {
        const revision written{config->mod_revision()};
        whole &= m_documents.applyConfig(config->value(), written) != apply_outcome::malformed;
    }
    if (const auto *fleet = firstKeyValue(reply.response, 1)) {
        const revision written{fleet->mod_revision()};
        whole &= m_documents.applyFleet(fleet->value(), written) != apply_outcome::malformed;
    }
    return whole;
}

void replicated_documents::recordStoreRevision(const store_reply &reply)
{
    m_storeRevision = std::max(m_storeRevision, revision{reply.response.header().revision()});
}

bool replicated_documents::isStale(const store_reply &reply, revision required) const
{
    return reply.error == store_error::none
        && revision{reply.response.header().revision()} < required;
}

void replicated_documents::trimAudit(const std::vector<poll_candidate> &fresh, time_point now)
{
    if (now < m_nextTrimAt)
        return;
    m_nextTrimAt = now + m_options.auditTrimPeriod;
    if (!m_schedule->isStoreReader(fresh))
        return;
    m_audit->trim(m_clock.wallNow(), [](std::size_t count) {
        if (count > 0)
            logEvent(event::audit_trimmed, {{"records", count}});
    });
}

void replicated_documents::writeReplicaState(wire::replica_state &state) const
{
    const document_revisions held = m_documents.revisions();
    state.set_config_revision(static_cast<std::int64_t>(held.config));
    state.set_fleet_revision(static_cast<std::int64_t>(held.fleet));
    state.set_learned(m_confirmation->isCaughtUp());
    state.set_store_revision(static_cast<std::int64_t>(m_storeRevision));
    state.set_store_unreachable(m_schedule->isStoreUnreachable());
    state.set_known_members(static_cast<std::uint32_t>(m_membership->countKnownVms()));
    const auto &confirmedAt = m_confirmation->confirmedAt();
    if (!confirmedAt)
        return;
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - *confirmedAt);
    if (age <= m_options.maxConfirmationAge)
        state.set_confirmation_age_ms(static_cast<std::uint32_t>(age.count()));
}

void replicated_documents::onReplicaState(const member &from, time_point writtenAfter,
                                          const wire::replica_state &state)
{
    const time_point now = m_clock.now();
    peer_report report{writtenAfter,
                       {revision{state.config_revision()}, revision{state.fleet_revision()}},
                       state.learned(),
                       std::nullopt,
                       state.known_members()};
    if (state.has_confirmation_age_ms())
        report.confirmationAge = std::chrono::milliseconds{state.confirmation_age_ms()};
    m_storeRevision = std::max(m_storeRevision, revision{state.store_revision()});
    m_peers[from] = {state.store_unreachable(), now};
    if (!m_documents.revisions().covers(report.held))
        m_metrics->fetches.Increment(m_exchange->fetch(from.vm, report.held, now) ? 1 : 0);
    m_confirmation->setKnownMembers(m_membership->countKnownVms());
    m_confirmation->onPeerReport(from, report, now);
    m_writes->advance();
    publishState();
}

void replicated_documents::removeInactivePeers(time_point now)
{
    std::erase_if(m_peers, [this, now](const auto &each) {
        const bool leaving = m_membership->isLeaving(each.first);
        if (leaving)
            m_confirmation->onLeave(each.first);
        return leaving || now - each.second.reportedAt > peerRetention;
    });
}

void replicated_documents::onDocumentsApplied()
{
    m_confirmation->setHeldRevisions(m_documents.revisions(), m_clock.now());
    publishState();
}

void replicated_documents::publishState()
{
    const published_state state{m_documents.revisions(), isConfirmed()};
    const auto &confirmedAt = m_confirmation->confirmedAt();
    if (confirmedAt)
        m_metrics->confirmationAge.Set(
            std::chrono::duration<double>(m_clock.now() - *confirmedAt).count());
    if (state == m_published)
        return;
    const published_state before = std::exchange(m_published, state);
    m_metrics->configRevision.Set(static_cast<double>(state.held.config));
    m_metrics->fleetRevision.Set(static_cast<double>(state.held.fleet));
    m_metrics->confirmed.Set(state.confirmed ? 1 : 0);
    if (state.held != before.held)
        logEvent(event::document_applied,
                 {{"config", static_cast<std::int64_t>(state.held.config)},
                  {"fleet", static_cast<std::int64_t>(state.held.fleet)}});
    if (state.confirmed != before.confirmed)
        logEvent(state.confirmed ? event::documents_confirmed : event::documents_unconfirmed);
    for (const auto &changed : m_subscribers)
        changed();
}

void replicated_documents::reportChange(const wire::change &change, const change_outcome &outcome)
{
    m_metrics->changes[static_cast<std::size_t>(outcome.error)]->Increment();
    logEvent(eventOf(outcome.error),
             {{"change", change.id()},
              {"operator", change.operator_name()},
              {"revision", outcome.result.revision()},
              {"in_force_on", outcome.result.in_force_on()},
              {"members", outcome.result.members()},
              {"detail", outcome.detail}});
}

} // namespace azurelb
