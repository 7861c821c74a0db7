#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/fleet/fwd.hpp>

#include <cstdint>
#include <optional>

namespace azurelb {

/** What the newest probe of a VM's executor told. */
enum class probe_result { unknown, passed, failed };

/** What the daemons report of one VM; it lags behind. */
struct vm_observation
{
    vm_id vm{};
    /** Requests running there, over all daemons; nothing if a daemon's report is missing. */
    std::optional<std::uint32_t> running{};
    probe_result probe{probe_result::unknown};
    /** The moment that the report describes, at the latest. */
    time_point at{};
};

} // namespace azurelb
