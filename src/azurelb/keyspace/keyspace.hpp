#pragma once

#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/keyspace_write.hpp>

#include <chrono>
#include <string>

namespace azurelb {

/**
 * Interface of an external key-value store with linearizable reads and writes. Each handler runs
 * exactly once, on the event loop and never inside the call. A call without an answer may still
 * take effect seconds later if its conditions hold then.
 */
class keyspace
{
public:
    /** Largest total number of conditions, puts and removals in one write. */
    static constexpr std::size_t maxWriteEntries{32};

    keyspace() = default;
    keyspace(const keyspace &) = delete;
    keyspace &operator=(const keyspace &) = delete;
    virtual ~keyspace() = default;

    /** Reads one key as a range of one item; the error is `missing` if the key does not exist. */
    virtual void get(const std::string &key, range_handler done) = 0;

    /** Reads one page of the keys that have the prefix and follow `after` in order. */
    virtual void range(const std::string &prefix, const std::string &after, range_handler done) = 0;

    /** Applies a conditional write atomically. */
    virtual void commit(const keyspace_write &write, commit_handler done) = 0;

    /** Creates a lease. The keys attached to a lease are removed when it expires or is revoked. */
    virtual void grant(std::chrono::milliseconds term, lease_handler done) = 0;
    virtual void renew(store_lease_id lease, lease_handler done) = 0;
    virtual void revoke(store_lease_id lease, lease_handler done) = 0;

    /**
     * Waits, on a separate connection and at most for `wait`, for changes of keys with the prefix
     * after the revision. The error is `missing` if the store no longer has that history.
     */
    virtual void watch(const std::string &prefix, store_revision after,
                       std::chrono::milliseconds wait, changes_handler done) = 0;
};

} // namespace azurelb
