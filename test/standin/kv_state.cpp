#include "kv_state.hpp"

#include <algorithm>
#include <array>
#include <compare>
#include <set>
#include <vector>

namespace azurelb::standin {

namespace {

using namespace wire::etcd;

constexpr int maxOperations{128};

using entry_list = std::vector<const key_value *>;
using entry_order = bool (*)(const key_value &, const key_value &);

template <auto Member>
bool less(const key_value &left, const key_value &right)
{
    return (left.*Member)() < (right.*Member)();
}

/** Indexed by range_request.sort_target. */
constexpr std::array<entry_order, 5> orders{
    less<&key_value::key>, less<&key_value::version>, less<&key_value::create_revision>,
    less<&key_value::mod_revision>, less<&key_value::value>};

void sort(entry_list &found, const range_request &req)
{
    if (req.order() == range_request::NONE)
        return;
    const entry_order before = orders.at(static_cast<std::size_t>(req.target()));
    const bool descending = req.order() == range_request::DESCEND;
    std::stable_sort(found.begin(), found.end(), [&](const auto *left, const auto *right) {
        return descending ? before(*right, *left) : before(*left, *right);
    });
}

using comparison = std::strong_ordering (*)(const compare &, const key_value &);

/** Indexed by compare.compare_target. */
constexpr std::array<comparison, 5> comparisons{
    [](const compare &wanted, const key_value &actual) {
        return actual.version() <=> wanted.version();
    },
    [](const compare &wanted, const key_value &actual) {
        return actual.create_revision() <=> wanted.create_revision();
    },
    [](const compare &wanted, const key_value &actual) {
        return actual.mod_revision() <=> wanted.mod_revision();
    },
    [](const compare &wanted, const key_value &actual) {
        return actual.value() <=> wanted.value();
    },
    [](const compare &wanted, const key_value &actual) {
        return actual.lease() <=> wanted.lease();
    }};

using result_check = bool (*)(std::strong_ordering);

/** Indexed by compare.compare_result. */
constexpr std::array<result_check, 4> resultChecks{
    [](std::strong_ordering order) { return std::is_eq(order); },
    [](std::strong_ordering order) { return std::is_gt(order); },
    [](std::strong_ordering order) { return std::is_lt(order); },
    [](std::strong_ordering order) {
        return std::is_neq(order);
    }};

bool changesKeys(const request_op &operation)
{
    return !operation.has_request_range();
}

} // namespace

void kv_state::expireLeases(time_point now)
{
    for (auto next = m_leases.begin(); next != m_leases.end();) {
        const auto current = next++;
        if (current->second.end > now)
            continue;
        removeLeaseKeys(current->first);
        m_leases.erase(current);
    }
}

range_response kv_state::range(const range_request &req) const
{
    entry_list found;
    const key_range within = findRange(req.key(), req.range_end());
    for (auto each = within.begin; each != within.end; ++each) {
        if (each->second.mod_revision() >= req.min_mod_revision())
            found.push_back(&each->second);
    }
    sort(found, req);
    range_response response;
    *response.mutable_header() = header();
    response.set_count(std::distance(within.begin, within.end));
    if (req.limit() > 0 && found.size() > static_cast<std::size_t>(req.limit())) {
        found.resize(static_cast<std::size_t>(req.limit()));
        response.set_more(true);
    }
    if (req.count_only())
        return response;
    for (const key_value *each : found) {
        key_value &added = *response.add_kvs();
        added = *each;
        if (req.keys_only())
            added.clear_value();
    }
    return response;
}

std::optional<kv_refusal> kv_state::commit(const txn_request &req, txn_response &response)
{
    for (const auto *branch : {&req.success(), &req.failure()}) {
        if (const auto refusal = validate(*branch))
            return refusal;
    }
    const bool succeeded = std::all_of(req.compare().begin(), req.compare().end(),
                                       [this](const compare &each) { return isSatisfied(each); });
    const auto &operations = succeeded ? req.success() : req.failure();
    response.set_succeeded(succeeded);
    if (std::any_of(operations.begin(), operations.end(), changesKeys))
        ++m_revision;
    for (const request_op &operation : operations)
        apply(operation, *response.add_responses());
    *response.mutable_header() = header();
    return std::nullopt;
}

std::optional<kv_refusal> kv_state::grant(const lease_grant_request &req, time_point now,
                                          lease_grant_response &response)
{
    if (m_leases.contains(req.id()))
        return leaseExists;
    while (m_leases.contains(m_nextLease))
        ++m_nextLease;
    const std::int64_t id = req.id() != 0 ? req.id() : m_nextLease;
    const std::chrono::seconds ttl{std::max<std::int64_t>(req.ttl(), 1)};
    m_leases.emplace(id, lease{ttl, now + ttl});
    response.set_id(id);
    response.set_ttl(ttl.count());
    *response.mutable_header() = header();
    return std::nullopt;
}

std::optional<kv_refusal> kv_state::revoke(std::int64_t id)
{
    if (m_leases.erase(id) == 0)
        return leaseNotFound;
    removeLeaseKeys(id);
    return std::nullopt;
}

lease_keep_alive_response kv_state::keepAlive(std::int64_t id, time_point now)
{
    lease_keep_alive_response response;
    *response.mutable_header() = header();
    response.set_id(id);
    const auto found = m_leases.find(id);
    if (found != m_leases.end()) {
        found->second.end = now + found->second.ttl;
        response.set_ttl(found->second.ttl.count());
    }
    return response;
}

response_header kv_state::header() const
{
    response_header made;
    made.set_cluster_id(1);
    made.set_member_id(1);
    made.set_raft_term(1);
    made.set_revision(m_revision);
    return made;
}

kv_state::key_range kv_state::findRange(const std::string &key, const std::string &rangeEnd) const
{
    const std::string allKeys(1, '\0');
    if (rangeEnd.empty())
        return {m_keys.lower_bound(key), m_keys.upper_bound(key)};
    if (rangeEnd == allKeys)
        return {m_keys.lower_bound(key), m_keys.end()};
    if (rangeEnd <= key)
        return {m_keys.end(), m_keys.end()};
    return {m_keys.lower_bound(key), m_keys.lower_bound(rangeEnd)};
}

bool kv_state::isSatisfied(const compare &condition) const
{
    static const key_value absentEntry;
    const auto found = m_keys.find(condition.key());
    const bool comparesValue = condition.target() == compare::VALUE;
    if (found == m_keys.end() && comparesValue)
        return false;
    const key_value &actual = found == m_keys.end() ? absentEntry : found->second;
    const auto order =
        comparisons.at(static_cast<std::size_t>(condition.target()))(condition, actual);
    return resultChecks.at(static_cast<std::size_t>(condition.result()))(order);
}

std::optional<kv_refusal>
kv_state::validate(const google::protobuf::RepeatedPtrField<request_op> &operations) const
{
    if (operations.size() > maxOperations)
        return tooManyOperations;
    std::set<std::string> keys;
    for (const request_op &operation : operations) {
        if (!operation.has_request_put())
            continue;
        const put_request &req = operation.request_put();
        if (!keys.insert(req.key()).second)
            return duplicateKey;
        if (req.lease() != 0 && !m_leases.contains(req.lease()))
            return leaseNotFound;
    }
    return std::nullopt;
}

void kv_state::apply(const request_op &operation, response_op &response)
{
    if (operation.has_request_range()) {
        *response.mutable_response_range() = range(operation.request_range());
    } else if (operation.has_request_put()) {
        put(operation.request_put());
        *response.mutable_response_put()->mutable_header() = header();
    } else {
        const delete_range_request &req = operation.request_delete_range();
        auto &removed = *response.mutable_response_delete_range();
        removed.set_deleted(remove(req.key(), req.range_end()));
        *removed.mutable_header() = header();
    }
}

void kv_state::put(const put_request &req)
{
    key_value &entry = m_keys[req.key()];
    if (entry.version() == 0) {
        entry.set_key(req.key());
        entry.set_create_revision(m_revision);
    }
    entry.set_version(entry.version() + 1);
    entry.set_mod_revision(m_revision);
    entry.set_value(req.value());
    entry.set_lease(req.lease());
}

std::int64_t kv_state::remove(const std::string &key, const std::string &rangeEnd)
{
    const key_range within = findRange(key, rangeEnd);
    const auto removed = std::distance(within.begin, within.end);
    m_keys.erase(within.begin, within.end);
    return removed;
}

void kv_state::removeLeaseKeys(std::int64_t leaseId)
{
    const auto removed = std::erase_if(
        m_keys, [leaseId](const auto &each) { return each.second.lease() == leaseId; });
    if (removed > 0)
        ++m_revision;
}

} // namespace azurelb::standin
