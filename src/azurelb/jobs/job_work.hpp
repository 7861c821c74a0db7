#pragma once

#include <azurelb/jobs/fwd.hpp>

#include <chrono>
#include <vector>

namespace azurelb {

/** Returns the sum of the estimates on the longest path through the steps; a step depends only on
    earlier ones. */
[[nodiscard]] std::chrono::milliseconds criticalPathLength(const std::vector<job_step> &steps);

/** Returns the estimated processor time of the steps that are not long-running, in
    core-milliseconds. */
[[nodiscard]] double shortWorkCoreMs(const std::vector<job_step> &steps);

/** Returns the estimated processor time of one task of the step, in core-milliseconds. */
[[nodiscard]] double taskCoreMs(const job_step &step);

} // namespace azurelb
