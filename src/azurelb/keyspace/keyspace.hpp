#pragma once

#include <azurelb/keyspace/keyspace_replies.hpp>
#include <azurelb/keyspace/keyspace_write.hpp>

#include <chrono>
#include <string>

namespace azurelb {

/**
 * Key-value service that outlives the daemons. Its answers are linearizable. Handlers run on the
 * event loop, once for each call, never inside the call. A call without an answer may still take
 * effect seconds later if its conditions hold then.
 */
class keyspace
{
public:
    /** Most conditions, puts and removals of one write together. */
    static constexpr std::size_t maxWriteEntries{32};

    keyspace() = default;
    keyspace(const keyspace &) = delete;
    keyspace &operator=(const keyspace &) = delete;
    virtual ~keyspace() = default;

    /** Reads one key as a range of one item; the error is missing if it does not exist. */
    virtual void get(const std::string &key, range_handler done) = 0;

    /** Reads one page of the keys with the prefix that follow the key given. */
    virtual void range(const std::string &prefix, const std::string &after, range_handler done) = 0;

    virtual void commit(const keyspace_write &write, commit_handler done) = 0;

    virtual void grant(std::chrono::milliseconds term, lease_handler done) = 0;
    virtual void renew(store_lease_id lease, lease_handler done) = 0;
    virtual void revoke(store_lease_id lease, lease_handler done) = 0;

    /**
     * Waits on a connection of its own for changes of the prefix after the revision, for the wait
     * at most. The error is missing if that history is gone.
     */
    virtual void watch(const std::string &prefix, store_revision after,
                       std::chrono::milliseconds wait, changes_handler done) = 0;
};

} // namespace azurelb
