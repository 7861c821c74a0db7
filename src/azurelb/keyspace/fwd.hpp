#pragma once

#include <cstdint>

namespace azurelb {

enum class keyspace_error;
struct keyspace_item;
struct keyspace_operations;
struct keyspace_range;
struct keyspace_changes;
struct keyspace_commit;
struct keyspace_lease;
class key_revisions;
class keyspace;
class keyspace_write;
class prefix_reader;
class prefix_watcher;

/** Position in the store's total order of changes. */
using store_revision = std::int64_t;

/** Identifier of a lease in the store; 0 means no lease. */
using store_lease_id = std::int64_t;

} // namespace azurelb
