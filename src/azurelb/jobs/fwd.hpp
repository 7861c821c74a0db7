#pragma once

#include <cstdint>
#include <string>

namespace azurelb {

enum class job_state;
struct resources;
struct job_step;
struct job_record;
struct job_progress;
struct job_step;
struct task_id;
struct task_progress;
class number_set;

/** Identifier of a job, chosen by the caller. */
using job_id = std::string;

/** Number of a run of a task; increases with each run, also across owners. */
using run_number = std::int64_t;

} // namespace azurelb
