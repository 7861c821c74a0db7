#include <azurelb/config/fleet_commit.hpp>
#include <azurelb/config/internal/store_keys.hpp>
#include <azurelb/config/local_documents.hpp>

namespace azurelb {

namespace {

using namespace internal;

/** Indices of the two range responses of a failed transaction. */
constexpr int fleetOperation{0};
constexpr int recordOperation{1};

/** Returns the given records, or a generic one if there are none. */
std::vector<wire::audit_record> recordsOrDefault(std::vector<wire::audit_record> records,
                                                 const std::string &writeId)
{
    if (!records.empty())
        return records;
    wire::audit_record record;
    record.set_change_id(writeId);
    record.set_verb("write_fleet");
    record.set_entity("fleet");
    return {record};
}

} // namespace

fleet_commit::fleet_commit(wire::fleet_document document, revision expected,
                           const std::vector<wire::audit_record> &records,
                           const std::string &writeId, const replica_options &options,
                           time_point startedAt, wall_time wallNow)
    : store_write{options, startedAt}
    , m_document{std::move(document)}
    , m_expected{expected}
{
    addRevisionCondition(m_request, fleetKey, expected);
    // Fails if the configuration changed since planning: the plan may violate the new
    // configuration.
    if (m_document.config_revision() > 0)
        addRevisionCondition(m_request, configKey, revision{m_document.config_revision()});
    operation_list &writes = *m_request.mutable_success();
    addPut(writes, fleetKey, m_document.SerializeAsString());
    std::size_t index = 0;
    for (wire::audit_record record : recordsOrDefault(records, writeId)) {
        record.set_committed_at_ms(toUnixMilliseconds(wallNow));
        const std::string id = writeId + "-" + std::to_string(index++);
        addPut(writes, auditKey(wallNow, id), record.SerializeAsString());
    }
    operation_list &reads = *m_request.mutable_failure();
    addRange(reads, fleetKey).set_keys_only(true);
    addRange(reads, auditKey(wallNow, writeId + "-0")).set_keys_only(true);
}

void fleet_commit::applyTo(local_documents &documents) const
{
    documents.applyFleet(m_document.SerializeAsString(), writtenRevisions().fleet);
}

void fleet_commit::onResponse(const wire::etcd::txn_response &response, wall_time)
{
    if (response.succeeded()) {
        onCommitted(response.header().revision());
        return;
    }
    if (const auto *record = firstKeyValue(response, recordOperation)) {
        onCommitted(record->mod_revision());
        return;
    }
    const auto *fleet = firstKeyValue(response, fleetOperation);
    fail(change_error::conflict,
         "the fleet is at revision " + std::to_string(fleet ? fleet->mod_revision() : 0)
             + ", expected " + std::to_string(static_cast<std::int64_t>(m_expected)));
}

void fleet_commit::onCommitted(std::int64_t at)
{
    wire::change_result result;
    result.set_revision(static_cast<std::uint64_t>(at));
    markCommitted({revision{}, revision{at}}, std::move(result));
}

} // namespace azurelb
