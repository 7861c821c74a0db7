#pragma once

#include <azurelb/wire/etcd.pb.h>

#include <cstdint>
#include <string>

namespace azurelb {

/** Adds the condition that the key was last modified at modRevision; 0 requires it to be absent. */
void requireModRevision(wire::etcd::txn_request &transaction, const std::string &key,
                        std::int64_t modRevision);

/** Adds the condition that the key does not exist. */
void requireAbsent(wire::etcd::txn_request &transaction, const std::string &key);

/** Adds the condition that the key has the value. */
void requireValue(wire::etcd::txn_request &transaction, const std::string &key,
                  const std::string &value);

/** Adds a write of the key that is applied if all conditions hold. */
void putOnSuccess(wire::etcd::txn_request &transaction, const std::string &key,
                  const std::string &value);

/** Adds a deletion of the key that is applied if all conditions hold. */
void deleteOnSuccess(wire::etcd::txn_request &transaction, const std::string &key);

/** Adds a read of the key for the case that all conditions hold, or that any does not. */
void readOnSuccess(wire::etcd::txn_request &transaction, const std::string &key);
void readOnFailure(wire::etcd::txn_request &transaction, const std::string &key);

/**
 * Returns the exclusive end of the range of keys with the prefix; "\0", which etcd reads as
 * unbounded, if there is none.
 */
[[nodiscard]] std::string prefixEnd(std::string prefix);

} // namespace azurelb
