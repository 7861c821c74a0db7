#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/wire/config.pb.h>

#include <cstdint>

namespace azurelb {

/** A document with one change applied, and the change's audit record. */
struct applied_change
{
    wire::config_document document{};
    wire::audit_record record{};
    /** Generation of the entity before the change, 0 if there was none. */
    std::uint64_t previousGeneration{};
};

} // namespace azurelb
