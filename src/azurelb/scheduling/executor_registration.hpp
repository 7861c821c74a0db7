#pragma once

#include <azurelb/jobs/resources.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurelb {

/** Entry under which an executor registers itself in the store. */
struct executor_registration
{
    executor_id id{};
    /** IP:PORT at which it accepts orders. */
    std::string address{};
    std::string pool{};
    std::string zone{};
    std::string vm{};
    std::vector<std::string> labels{};
    resources capacity{};
    bool draining{false};
    /** Minimum time until a draining executor shuts down. */
    std::chrono::milliseconds remaining{0};
    /** Start time, Unix time in milliseconds; differs after a restart under the same identifier. */
    std::int64_t startedUnixMs{0};
    /** An owner has seen it restart. Part of the owner's record; executors don't register it. */
    bool hasRestarted{false};
};

} // namespace azurelb
