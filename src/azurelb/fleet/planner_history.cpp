#include <azurelb/fleet/planner_history.hpp>

#include <azurelb/fleet/plan_input.hpp>
#include <azurelb/fleet/vm_index.hpp>
#include <azurelb/wire/config.pb.h>

#include <unordered_set>
#include <utility>

namespace azurelb {

namespace {

std::unordered_set<std::string> findZonesOut(const wire::config_document &config)
{
    std::unordered_set<std::string> names;
    for (const wire::availability_zone &zone : config.zones()) {
        if (zone.out())
            names.insert(zone.name());
    }
    return names;
}

} // namespace

void planner_history::observe(const plan_input &input, const vm_index &list)
{
    m_now = input.now;
    const std::unordered_set<std::string> zonesOut = findZonesOut(input.config);
    const auto earlier = std::exchange(m_states, {});
    const start_times unlisted = std::exchange(m_unlisted, {});
    const start_times healthy = std::exchange(m_healthy, {});
    for (const wire::fleet_vm &vm : input.fleet.vms()) {
        const auto found = earlier.find(vm.id());
        seen_state seen{vm.state(), vm.since_ms(), vm.pool(), m_now};
        const bool same = found != earlier.end() && found->second.state == seen.state
            && found->second.sinceMs == seen.sinceMs && found->second.pool == seen.pool;
        const bool isHeld = vm.absent() || (vm.wave().empty() && zonesOut.contains(vm.zone()));
        if (same && !(vm.state() == wire::VM_STATE_PROBING && isHeld))
            seen.at = found->second.at;
        m_states.emplace(vm.id(), std::move(seen));
        const listed_state listedAs = list.listedState(vm);
        if (listedAs == listed_state::unlisted)
            keepStartTime(m_unlisted, unlisted, vm.id());
        if (listedAs == listed_state::live && !vm.absent())
            keepStartTime(m_healthy, healthy, vm.id());
    }
    for (const vm_observation &each : input.observations) {
        if (each.probe == probe_result::failed)
            m_healthy.erase(each.vm.value());
    }
}

void planner_history::keepStartTime(start_times &into, const start_times &earlier,
                                    const std::string &vm) const
{
    const auto found = earlier.find(vm);
    into.emplace(vm, found == earlier.end() ? m_now : found->second);
}

time_point planner_history::inStateSince(const wire::fleet_vm &vm) const
{
    const auto found = m_states.find(vm.id());
    const bool same = found != m_states.end() && found->second.state == vm.state()
        && found->second.sinceMs == vm.since_ms() && found->second.pool == vm.pool();
    return same ? found->second.at : m_now;
}

duration planner_history::timeInState(const wire::fleet_vm &vm) const
{
    return m_now - inStateSince(vm);
}

duration planner_history::since(const start_times &all, const std::string &key) const
{
    const auto found = all.find(key);
    return found == all.end() ? duration{} : m_now - found->second;
}

duration planner_history::timeUnlisted(const std::string &vm) const
{
    return since(m_unlisted, vm);
}

duration planner_history::timeHealthy(const std::string &vm) const
{
    return since(m_healthy, vm);
}

bool planner_history::hasLasted(const std::string &condition, bool holds, duration holdTime)
{
    if (!holds) {
        m_conditions.erase(condition);
        return false;
    }
    const auto found = m_conditions.try_emplace(condition, m_now).first;
    if (m_now - found->second < holdTime)
        return false;
    m_conditions.erase(found);
    return true;
}

bool planner_history::tryReturn(const std::string &pool, duration interval)
{
    const auto found = m_returns.find(pool);
    if (found != m_returns.end() && m_now - found->second < interval)
        return false;
    m_returns[pool] = m_now;
    return true;
}

} // namespace azurelb
