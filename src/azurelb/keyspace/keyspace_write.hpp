#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <string>
#include <vector>

namespace azurelb {

/** Holds if the key was last changed at the revision; 0 if it must not exist. */
struct keyspace_condition
{
    std::string key{};
    store_revision revision{0};
};

struct keyspace_put
{
    std::string key{};
    std::string value{};
    /** The key goes with this lease; 0 for a key that stays. */
    store_lease_id lease{0};
};

/** A write that takes effect as a whole if all its conditions hold, or not at all. */
struct keyspace_write
{
    std::vector<keyspace_condition> conditions{};
    std::vector<keyspace_put> puts{};
    std::vector<std::string> removals{};
};

} // namespace azurelb
