#pragma once

#include <azurelb/keyspace/keyspace_error.hpp>
#include <azurelb/keyspace/keyspace_item.hpp>

#include <chrono>
#include <functional>
#include <vector>

namespace azurelb {

/** One page of a range read. */
struct keyspace_range
{
    keyspace_error error{keyspace_error::none};
    std::vector<keyspace_item> items{};
    bool more{false};
    /** Revision of the store when the page was read. */
    store_revision revision{0};
};

/** Changes since the requested revision. */
struct keyspace_changes
{
    keyspace_error error{keyspace_error::none};
    std::vector<keyspace_item> items{};
    /** Revision from which the next watch continues. */
    store_revision revision{0};
};

/** Outcome of a commit. */
struct keyspace_commit
{
    keyspace_error error{keyspace_error::none};
    store_revision revision{0};
    /** After a conflict: the current state of the keys in the conditions. */
    std::vector<keyspace_item> current{};
};

/** Outcome of a grant or a renewal. */
struct keyspace_lease
{
    keyspace_error error{keyspace_error::none};
    store_lease_id lease{0};
    std::chrono::milliseconds term{0};
};

using range_handler = std::function<void(keyspace_range &&)>;
using changes_handler = std::function<void(keyspace_changes &&)>;
using commit_handler = std::function<void(keyspace_commit &&)>;
using lease_handler = std::function<void(keyspace_lease &&)>;

} // namespace azurelb
