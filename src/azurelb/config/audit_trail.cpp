#include <azurelb/config/audit_trail.hpp>
#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/internal/store_keys.hpp>
#include <azurelb/store/store.hpp>
#include <azurelb/store/store_reply.hpp>

#include <algorithm>

namespace azurelb {

namespace {

using namespace internal;

constexpr std::size_t maxListedRecords{1000};
/** Deleting one record takes two operations; a store transaction is limited to 128. */
constexpr std::int64_t maxTrimmedPerCall{50};
constexpr std::chrono::hours initialWindow{24};
constexpr int windowGrowthFactor{8};

/** Tolerance for clocks of other daemons that run ahead of this one. */
constexpr std::chrono::hours clockSkew{1};

wire::audit_list toList(const wire::etcd::txn_response &response)
{
    wire::audit_list list;
    if (response.responses_size() == 0)
        return list;
    for (const auto &pair : response.responses(0).response_range().kvs()) {
        wire::audit_record record;
        if (record.ParseFromString(pair.value()))
            *list.add_records() = std::move(record);
    }
    return list;
}

/** Indices of the two range responses of trimRequest(). */
constexpr int oldestOperation{0};
constexpr int newestOperation{1};

/** The time digits of an audit key; their lexical order is the order of time. */
std::string_view timeDigitsOf(std::string_view key)
{
    constexpr std::size_t timeDigits{20};
    return key.substr(std::min(auditPrefix.size(), key.size()), timeDigits);
}

wire::etcd::txn_request trimRequest(wall_time wallNow, const replica_options &options)
{
    wire::etcd::txn_request request;
    auto &oldest = addRange(*request.mutable_success(), auditPrefix);
    oldest.set_range_end(auditKey(wallNow - options.auditRetention));
    oldest.set_limit(maxTrimmedPerCall);
    auto &newest = addRange(*request.mutable_success(), auditPrefix);
    newest.set_range_end(endOfPrefix(auditPrefix));
    newest.set_limit(1);
    newest.set_keys_only(true);
    newest.set_order(wire::etcd::range_request::DESCEND);
    newest.set_target(wire::etcd::range_request::KEY);
    return request;
}

/** Time digits before which records are expired relative to the newest record's time. */
std::string retentionCutOff(const wire::etcd::key_value &newest, const replica_options &options)
{
    const std::string digits{timeDigitsOf(newest.key())};
    const std::chrono::milliseconds since{std::strtoll(digits.c_str(), nullptr, 10)};
    const std::string key = auditKey(wall_time{since} - options.auditRetention);
    return std::string{timeDigitsOf(key)};
}

} // namespace

audit_trail::audit_trail(store &backend, const replica_options &options)
    : m_store{backend}
    , m_options{options}
{ }

void audit_trail::read(std::size_t most, wall_time wallNow, document_source::audit_handler done)
{
    readWindow(std::clamp<std::size_t>(most, 1, maxListedRecords), wallNow, initialWindow, done);
}

void audit_trail::trim(wall_time wallNow, std::function<void(std::size_t)> done)
{
    m_store.read(trimRequest(wallNow, m_options), m_options.commitTimeout,
                 [this, done = std::move(done)](const store_reply &reply) { remove(reply, done); });
}

void audit_trail::readWindow(std::size_t most, wall_time wallNow, std::chrono::hours window,
                             const document_source::audit_handler &done)
{
    wire::etcd::txn_request request;
    auto &range = addRange(*request.mutable_success(), auditKey(wallNow - window));
    range.set_range_end(auditKey(wallNow + clockSkew));
    range.set_limit(static_cast<std::int64_t>(most));
    range.set_order(wire::etcd::range_request::DESCEND);
    range.set_target(wire::etcd::range_request::KEY);
    const auto onReply = [=, this](const store_reply &reply) {
        if (reply.error != store_error::none) {
            done(change_error::unavailable, {});
            return;
        }
        const wire::audit_list list = toList(reply.response);
        const bool enough = static_cast<std::size_t>(list.records_size()) >= most;
        if (enough || window >= m_options.auditRetention + initialWindow)
            done(change_error::none, list);
        else
            readWindow(most, wallNow, window * windowGrowthFactor, done);
    };
    m_store.read(request, m_options.commitTimeout, onReply);
}

void audit_trail::remove(const store_reply &found, const std::function<void(std::size_t)> &done)
{
    const auto *newest =
        found.error == store_error::none ? firstKeyValue(found.response, newestOperation) : nullptr;
    if (!newest) {
        done(0);
        return;
    }
    wire::etcd::txn_request request;
    const std::string before = retentionCutOff(*newest, m_options);
    std::size_t count = 0;
    for (const auto &pair : found.response.responses(oldestOperation).response_range().kvs()) {
        if (timeDigitsOf(pair.key()) >= before)
            continue;
        ++count;
        addDelete(*request.mutable_success(), pair.key());
        wire::audit_record record;
        if (record.ParseFromString(pair.value()) && !record.change_id().empty())
            addDelete(*request.mutable_success(), markerKey(record.change_id()));
    }
    if (count == 0) {
        done(0);
        return;
    }
    m_store.commit(request, m_options.commitTimeout, [done, count](const store_reply &reply) {
        done(reply.error == store_error::none ? count : 0);
    });
}

} // namespace azurelb
