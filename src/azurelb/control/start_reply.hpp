#pragma once

#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/start_outcome.hpp>

#include <chrono>
#include <optional>

namespace azurelb {

/** Answer to a start order. */
struct start_reply
{
    start_outcome outcome{start_outcome::unknown};
    /** The executor's clock; empty if it did not answer. */
    std::optional<std::chrono::milliseconds> clock{};
    /** Report of the incarnation that answered instead of the one that the order names. */
    std::optional<executor_report> otherReport{};
};

} // namespace azurelb
