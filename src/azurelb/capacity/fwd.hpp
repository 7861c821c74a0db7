#pragma once

namespace azurelb {

struct pool_plan_input;
struct pool_planner_options;
struct vm_move;
struct fleet_snapshot;
struct vm_view;
struct numbered_wave_progress;
struct wave_options;
struct wave_progress;
struct wave_step;

} // namespace azurelb
