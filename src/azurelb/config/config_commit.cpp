#include <azurelb/config/apply_change.hpp>
#include <azurelb/config/change_failure.hpp>
#include <azurelb/config/config_commit.hpp>
#include <azurelb/config/internal/store_keys.hpp>
#include <azurelb/config/local_documents.hpp>
#include <azurelb/core/digest.hpp>
#include <azurelb/wire/replica.pb.h>

#include <boost/leaf/handle_errors.hpp>

namespace azurelb {

namespace {

using namespace internal;
namespace leaf = boost::leaf;

/** Indices of the three range responses of the read and of a failed transaction. */
constexpr int configOperation{0};
constexpr int markerOperation{1};
constexpr int auditOperation{2};

/** Audit records searched for the change that caused a conflict. */
constexpr std::int64_t maxRecentRecords{32};
constexpr std::chrono::hours recentPeriod{1};

void addRanges(operation_list &list, const std::string &changeId, wall_time wallNow)
{
    addRange(list, configKey);
    addRange(list, markerKey(changeId));
    wire::etcd::range_request &audit = addRange(list, auditKey(wallNow - recentPeriod));
    audit.set_range_end(endOfPrefix(auditPrefix));
    audit.set_limit(maxRecentRecords);
    audit.set_order(wire::etcd::range_request::DESCEND);
    audit.set_target(wire::etcd::range_request::KEY);
}

/** Describes the last change of the entity; empty if it is not among the recent audit records. */
std::string describeLastChange(const wire::etcd::txn_response &response, const std::string &entity)
{
    if (response.responses_size() <= auditOperation)
        return {};
    for (const auto &pair : response.responses(auditOperation).response_range().kvs()) {
        wire::audit_record record;
        if (!record.ParseFromString(pair.value()) || record.entity() != entity)
            continue;
        return "; changed by " + record.operator_name() + " at "
            + std::to_string(record.committed_at_ms()) + " ms since the epoch by " + record.verb()
            + " to " + (record.after().empty() ? "nothing" : record.after());
    }
    return {};
}

} // namespace

config_commit::config_commit(wire::change change, const replica_options &options,
                             time_point startedAt, wall_time wallNow)
    : store_write{options, startedAt}
    , m_change{std::move(change)}
    , m_digest{sha256(m_change.SerializeAsString())}
{
    buildRead(wallNow);
}

void config_commit::applyTo(local_documents &documents) const
{
    if (m_applied && m_ownRevision != revision{})
        documents.applyConfig(m_applied->document.SerializeAsString(), m_ownRevision);
}

void config_commit::onResponse(const wire::etcd::txn_response &response, wall_time wallNow)
{
    if (!isRead() && response.succeeded())
        onCommitted(revision{response.header().revision()});
    else if (const auto *marker = firstKeyValue(response, markerOperation))
        onMarker(*marker);
    else
        evaluate(firstKeyValue(response, configOperation), response, wallNow);
}

void config_commit::onCommitted(revision at)
{
    m_ownRevision = at;
    wire::change_result result;
    result.set_change_id(m_change.id());
    result.set_revision(static_cast<std::uint64_t>(at));
    result.set_generation(m_applied->record.generation());
    markCommitted({at, revision{}}, std::move(result));
}

void config_commit::onMarker(const wire::etcd::key_value &marker)
{
    wire::change_marker earlier;
    if (!earlier.ParseFromString(marker.value()) || earlier.digest() != m_digest) {
        fail(change_error::invalid,
             "change id is \"" + m_change.id() + "\"; allowed: an id that no other change has");
        return;
    }
    wire::change_result result;
    result.set_change_id(m_change.id());
    result.set_revision(static_cast<std::uint64_t>(marker.mod_revision()));
    result.set_generation(earlier.generation());
    markCommitted({revision{marker.mod_revision()}, revision{}}, std::move(result));
}

void config_commit::evaluate(const wire::etcd::key_value *config,
                             const wire::etcd::txn_response &response, wall_time wallNow)
{
    wire::config_document base;
    if (config && !base.ParseFromString(config->value())) {
        fail(change_error::unavailable,
             "the change was not made: the stored configuration cannot "
             "be read by this version");
        return;
    }
    wire::change change = m_change;
    if (m_applied)
        change.set_expected_generation(m_applied->previousGeneration);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(m_applied, applyChange(base, change));
            buildTransaction(revision{config ? config->mod_revision() : 0}, wallNow);
            return {};
        },
        [&](const change_failure &fault) {
            const bool conflict = fault.error == change_error::conflict;
            const std::string who =
                conflict ? describeLastChange(response, fault.entity) : std::string{};
            fail(fault.error, fault.detail + who);
        },
        [this] { fail(change_error::invalid, "the change cannot be applied"); });
}

void config_commit::buildRead(wall_time wallNow)
{
    addRanges(*m_request.mutable_success(), m_change.id(), wallNow);
}

void config_commit::buildTransaction(revision base, wall_time wallNow)
{
    m_applied->record.set_committed_at_ms(toUnixMilliseconds(wallNow));
    wire::change_marker marker;
    marker.set_generation(m_applied->record.generation());
    marker.set_digest(m_digest);
    m_request.Clear();
    addRevisionCondition(m_request, configKey, base);
    addRevisionCondition(m_request, markerKey(m_change.id()), revision{});
    operation_list &writes = *m_request.mutable_success();
    addPut(writes, configKey, m_applied->document.SerializeAsString());
    addPut(writes, auditKey(wallNow, m_change.id()), m_applied->record.SerializeAsString());
    addPut(writes, markerKey(m_change.id()), marker.SerializeAsString());
    addRanges(*m_request.mutable_failure(), m_change.id(), wallNow);
}

} // namespace azurelb
