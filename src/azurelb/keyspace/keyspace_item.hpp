#pragma once

#include <azurelb/keyspace/fwd.hpp>

#include <string>

namespace azurelb {

/** One key as it stands, or its removal. */
struct keyspace_item
{
    std::string key{};
    std::string value{};
    /** Of the last change; 0 if the key does not exist. */
    store_revision revision{0};
    bool removed{false};
};

} // namespace azurelb
