#pragma once

#include <azurelb/wire/etcd.pb.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace azurelb::standin {

/** Error of the store, with the status code and message of etcd. */
struct kv_refusal
{
    int code{};
    std::string_view message;
};

inline constexpr kv_refusal duplicateKey{3, "etcdserver: duplicate key given in txn request"};
inline constexpr kv_refusal tooManyOperations{3, "etcdserver: too many operations in txn request"};
inline constexpr kv_refusal leaseNotFound{5, "etcdserver: requested lease not found"};
inline constexpr kv_refusal leaseExists{9, "etcdserver: lease already exists"};

/** Keys, revisions and leases of the store, independent of the transport. */
class kv_state
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /** Ends expired leases and deletes their keys. */
    void expireLeases(time_point now);

    [[nodiscard]] wire::etcd::range_response range(const wire::etcd::range_request &req) const;

    /**
     * Commits the transaction as one new revision, or rejects it as a whole. The response is valid
     * only if no error is returned.
     */
    [[nodiscard]] std::optional<kv_refusal> commit(const wire::etcd::txn_request &req,
                                                   wire::etcd::txn_response &response);

    [[nodiscard]] std::optional<kv_refusal> grant(const wire::etcd::lease_grant_request &req,
                                                  time_point now,
                                                  wire::etcd::lease_grant_response &response);

    [[nodiscard]] std::optional<kv_refusal> revoke(std::int64_t id);

    /** Renews the lease. The returned TTL is 0 if the lease does not exist. */
    [[nodiscard]] wire::etcd::lease_keep_alive_response keepAlive(std::int64_t id, time_point now);

    [[nodiscard]] wire::etcd::response_header header() const;

private:
    struct lease
    {
        std::chrono::seconds ttl{};
        time_point end;
    };

    using key_map = std::map<std::string, wire::etcd::key_value, std::less<>>;

    struct key_range
    {
        key_map::const_iterator begin;
        key_map::const_iterator end;
    };

    [[nodiscard]] key_range findRange(const std::string &key, const std::string &rangeEnd) const;
    [[nodiscard]] bool isSatisfied(const wire::etcd::compare &condition) const;
    [[nodiscard]] std::optional<kv_refusal>
    validate(const google::protobuf::RepeatedPtrField<wire::etcd::request_op> &operations) const;
    void apply(const wire::etcd::request_op &operation, wire::etcd::response_op &response);
    void put(const wire::etcd::put_request &req);
    std::int64_t remove(const std::string &key, const std::string &rangeEnd);
    void removeLeaseKeys(std::int64_t leaseId);

    key_map m_keys;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision{1};
    std::int64_t m_nextLease{1};
};

} // namespace azurelb::standin
