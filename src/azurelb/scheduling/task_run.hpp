#pragma once

#include <azurelb/jobs/task_id.hpp>

namespace azurelb {

/** A run of a task. */
struct task_run
{
    task_id task{};
    run_number run{0};
};

} // namespace azurelb
