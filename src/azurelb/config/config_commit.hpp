#pragma once

#include <azurelb/config/applied_change.hpp>
#include <azurelb/config/store_write.hpp>

#include <optional>

namespace azurelb {

/**
 * Commits one operator's change with optimistic concurrency control. Reads the newest
 * configuration, applies the change, and writes the document, the audit record and a marker under
 * the change's id in one transaction, on condition that the document is unmodified and the marker
 * does not exist. After a concurrent write the change is applied to the newer document, unless that
 * write changed the same entity. The marker makes the change idempotent: if it exists, the earlier
 * outcome is returned.
 */
class config_commit final : public store_write
{
public:
    config_commit(wire::change change, const replica_options &options, time_point startedAt,
                  wall_time wallNow);

    [[nodiscard]] const wire::etcd::txn_request &request() const override { return m_request; }
    [[nodiscard]] bool isRead() const override { return !m_applied; }
    void applyTo(local_documents &documents) const override;

    [[nodiscard]] const wire::change &change() const noexcept { return m_change; }

private:
    void onResponse(const wire::etcd::txn_response &response, wall_time wallNow) override;
    void onCommitted(revision at);
    void onMarker(const wire::etcd::key_value &marker);
    void evaluate(const wire::etcd::key_value *config, const wire::etcd::txn_response &response,
                  wall_time wallNow);
    void buildRead(wall_time wallNow);
    void buildTransaction(revision base, wall_time wallNow);

    wire::change m_change;
    std::string m_digest;
    wire::etcd::txn_request m_request{};
    /** The change applied to the newest document read; empty before the first response. */
    std::optional<applied_change> m_applied{};
    /** Revision of the document that this object wrote; 0 if the change was committed before. */
    revision m_ownRevision{};
};

} // namespace azurelb
