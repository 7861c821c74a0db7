#include <azurelb/config/document_exchange.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/wire/peer.pb.h>
#include <azurelb/wire/replica.pb.h>

namespace azurelb {

document_exchange::document_exchange(peer_transport &transport, local_documents &documents,
                                     const replica_options &options, handler applied)
    : m_transport{transport}
    , m_documents{documents}
    , m_options{options}
    , m_applied{std::move(applied)}
{
    m_transport.subscribe(document_source::serviceName,
                          [this](const wire::envelope &envelope) { onEnvelope(envelope); });
}

bool document_exchange::fetch(const vm_id &from, const document_revisions &wanted, time_point now)
{
    if (m_lastWanted.covers(wanted) && now - m_lastSentAt < m_options.fetchRetryDelay)
        return false;
    m_lastWanted = wanted;
    m_lastSentAt = now;
    const document_revisions held = m_documents.revisions();
    wire::replica_message message;
    message.mutable_request()->set_config_revision(static_cast<std::int64_t>(held.config));
    message.mutable_request()->set_fleet_revision(static_cast<std::int64_t>(held.fleet));
    m_transport.send(from, document_source::serviceName, message);
    return true;
}

void document_exchange::onEnvelope(const wire::envelope &envelope)
{
    wire::replica_message message;
    if (!message.ParseFromString(envelope.payload()))
        return;
    const vm_id from{envelope.from_vm()};
    if (message.has_request())
        onRequest(from, message.request());
    else if (message.has_reply())
        onReply(from, message.reply());
}

void document_exchange::onRequest(const vm_id &from, const wire::fetch_request &request)
{
    wire::replica_message message;
    wire::fetch_reply &reply = *message.mutable_reply();
    const config_view &config = *m_documents.config();
    const fleet_view &fleet = *m_documents.fleet();
    if (config.storeRevision() > revision{request.config_revision()}) {
        reply.set_config_revision(static_cast<std::int64_t>(config.storeRevision()));
        reply.set_config(config.document().SerializeAsString());
    }
    if (fleet.storeRevision() > revision{request.fleet_revision()}) {
        reply.set_fleet_revision(static_cast<std::int64_t>(fleet.storeRevision()));
        reply.set_fleet(fleet.document().SerializeAsString());
    }
    m_transport.send(from, document_source::serviceName, message);
}

void document_exchange::onReply(const vm_id &from, const wire::fetch_reply &reply)
{
    const document_revisions before = m_documents.revisions();
    (void)m_documents.applyConfig(reply.config(), revision{reply.config_revision()});
    (void)m_documents.applyFleet(reply.fleet(), revision{reply.fleet_revision()});
    if (m_documents.revisions() != before)
        m_applied(from);
}

} // namespace azurelb
