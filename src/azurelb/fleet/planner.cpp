#include <azurelb/fleet/planner.hpp>

#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/plan_passes.hpp>

namespace azurelb {

namespace {

using plan_pass = void (*)(fleet_draft &);

constexpr plan_pass passes[]{applyVmList,     withdrawOutZones, advanceVms,   updateWaves,
                             applyMoveOrders, resizePools,      drainForWaves};

} // namespace

bool isRebootDue(time_point committed, const fleet_options &options, time_point now) noexcept
{
    return now - committed <= options.maxOrderDelay;
}

plan_result planner::plan(const plan_input &input)
{
    if (input.now - input.listRequestedAt > m_options.maxListAge)
        return {};
    fleet_draft draft{input, m_options, m_history};
    for (const plan_pass each : passes)
        each(draft);
    return draft.finish();
}

} // namespace azurelb
