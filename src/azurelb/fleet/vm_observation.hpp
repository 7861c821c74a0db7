#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <optional>

namespace azurelb {

/** Result of the latest probe of a VM's executor. */
enum class probe_result { unknown, passed, failed };

/** Report of the daemons about one VM; may lag behind its actual state. */
struct vm_observation
{
    vm_id vm{};
    /** Running requests from all daemons; empty if a daemon's report is missing. */
    std::optional<std::uint32_t> running{};
    probe_result probe{probe_result::unknown};
    /** Time that the report describes, at the latest. */
    time_point at{};
};

} // namespace azurelb
