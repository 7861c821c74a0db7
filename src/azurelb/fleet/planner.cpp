#include <azurelb/fleet/planner.hpp>

#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/strategies.hpp>

namespace azurelb {

namespace {

using strategy = void (*)(fleet_draft &);

constexpr strategy strategies[]{observePlatform, holdZones, advanceVms,   settleWaves,
                                followOrders,    sizePools, drainForWaves};

} // namespace

bool isDue(time_point committed, const fleet_options &options, time_point now) noexcept
{
    return now - committed <= options.orderBound;
}

plan_step planner::plan(const plan_input &input)
{
    if (input.now - input.listedAt > m_options.listAgeBound)
        return {};
    fleet_draft draft{input, m_options, m_memory};
    for (const strategy each : strategies)
        each(draft);
    return draft.finish();
}

} // namespace azurelb
