#pragma once

#include <azurelb/config/store_write.hpp>
#include <azurelb/wire/fleet.pb.h>

#include <string>
#include <vector>

namespace azurelb {

/**
 * Writes the fleet document and its audit records in one transaction if the stored document still
 * has the revision that the caller saw. After a lost response, the key of the first audit record,
 * which is unique to this write, shows whether the write took effect.
 */
class fleet_commit final : public store_write
{
public:
    /** Precondition: writeId is unique among all writes of all daemons. */
    fleet_commit(wire::fleet_document document, revision expected,
                 const std::vector<wire::audit_record> &records, const std::string &writeId,
                 const replica_options &options, time_point startedAt, wall_time wallNow);

    [[nodiscard]] const wire::etcd::txn_request &request() const override { return m_request; }
    [[nodiscard]] bool isRead() const override { return false; }
    void applyTo(local_documents &documents) const override;

private:
    void onResponse(const wire::etcd::txn_response &response, wall_time wallNow) override;
    void onCommitted(std::int64_t at);

    wire::fleet_document m_document;
    revision m_expected;
    wire::etcd::txn_request m_request{};
};

} // namespace azurelb
