#pragma once

#include <azurelb/jobs/resources.hpp>
#include <azurelb/scheduling/fwd.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurelb {

/** What an executor says of itself in the store. */
struct executor_registration
{
    executor_id id{};
    /** IP:PORT of its orders. */
    std::string address{};
    std::string pool{};
    std::string zone{};
    std::string vm{};
    std::vector<std::string> labels{};
    resources capacity{};
    bool draining{false};
    /** Least time until a draining executor leaves. */
    std::chrono::milliseconds remaining{0};
    /** Unix milliseconds of its start; a start under the same identifier has another. */
    std::int64_t startedUnixMs{0};
};

} // namespace azurelb
