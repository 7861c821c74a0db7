#pragma once

#include <azurelb/config/local_documents.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/core/identifier.hpp>
#include <azurelb/peer/fwd.hpp>

#include <functional>

namespace azurelb {

namespace wire {
class fetch_reply;
class fetch_request;
} // namespace wire

/** Fetches newer documents from peers, and serves this daemon's documents to them. */
class document_exchange
{
public:
    /** Called with the peer from which newer documents were applied. */
    using handler = std::function<void(const vm_id &)>;

    document_exchange(peer_transport &transport, local_documents &documents,
                      const replica_options &options, handler applied);

    /**
     * Requests newer documents from a peer. Returns false, without a request, if revisions at least
     * as new were requested within fetchRetryDelay.
     */
    bool fetch(const vm_id &from, const document_revisions &wanted, time_point now);

private:
    void onEnvelope(const wire::envelope &envelope);
    void onRequest(const vm_id &from, const wire::fetch_request &request);
    void onReply(const vm_id &from, const wire::fetch_reply &reply);

    peer_transport &m_transport;
    local_documents &m_documents;
    replica_options m_options;
    handler m_applied;
    document_revisions m_lastWanted{};
    time_point m_lastSentAt{};
};

} // namespace azurelb
