#pragma once

#include <string>

namespace azurelb {

enum class assignment_phase;
enum class queue_order;
enum class release_reason;
enum class run_end;
enum class start_outcome;
enum class stop_reason;
struct assignment;
struct ended_run;
struct executor_entry;
struct executor_incarnation;
struct executor_registration;
struct executor_report;
struct former_run;
struct job_entry;
struct cpu_share_order;
struct pool_load;
struct reported_run;
struct scheduling_options;
struct start_order;
struct step_entry;
struct stop_order;
struct task_entry;
struct task_run;
class executor_table;
class job_table;
class scheduler;
class team_usage;

/** Identifier of an executor; a restarted executor may use it again. */
using executor_id = std::string;

} // namespace azurelb
