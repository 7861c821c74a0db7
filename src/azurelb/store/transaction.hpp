#pragma once

#include <azurelb/wire/etcd.pb.h>

#include <cstdint>
#include <string>

namespace azurelb {

/** Adds the condition that the key was last written at the revision; 0 for a key that is absent. */
void requireModRevision(wire::etcd::txn_request &transaction, const std::string &key,
                        std::int64_t modRevision);

/** Adds the condition that the key does not exist. */
void requireAbsent(wire::etcd::txn_request &transaction, const std::string &key);

/** Adds the condition that the key has the value. */
void requireValue(wire::etcd::txn_request &transaction, const std::string &key,
                  const std::string &value);

/** Writes the key if all conditions hold. */
void putOnSuccess(wire::etcd::txn_request &transaction, const std::string &key,
                  const std::string &value);

/** Deletes the key if all conditions hold. */
void deleteOnSuccess(wire::etcd::txn_request &transaction, const std::string &key);

/** Reads the key if all conditions hold, or if not all hold. */
void readOnSuccess(wire::etcd::txn_request &transaction, const std::string &key);
void readOnFailure(wire::etcd::txn_request &transaction, const std::string &key);

/** The first key that follows all keys with the prefix. */
[[nodiscard]] std::string prefixEnd(std::string prefix);

} // namespace azurelb
