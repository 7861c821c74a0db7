#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <string>
#include <vector>

namespace azurelb {

/** Holds if the key was last changed at this revision; 0 requires that it does not exist. */
struct keyspace_condition
{
    std::string key{};
    store_revision revision{0};
};

struct keyspace_put
{
    std::string key{};
    std::string value{};
    /** Lease with which the key is removed; 0 for a permanent key. */
    store_lease_id lease{0};
};

/** What a store executes atomically if all conditions hold. */
struct keyspace_operations
{
    std::vector<keyspace_condition> conditions{};
    std::vector<keyspace_put> puts{};
    std::vector<std::string> removals{};
};

} // namespace azurelb
