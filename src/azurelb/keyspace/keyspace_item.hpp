#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <string>

namespace azurelb {

/** Current state of one key, or its removal. */
struct keyspace_item
{
    std::string key{};
    std::string value{};
    /** Revision of the last change; 0 if the key does not exist. */
    store_revision revision{0};
    bool removed{false};
};

} // namespace azurelb
