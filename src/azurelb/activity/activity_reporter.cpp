#include <azurelb/activity/activity_reporter.hpp>
#include <azurelb/activity/activity_service.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/wire/fleet.pb.h>

namespace azurelb {

activity_reporter::activity_reporter(boost::asio::io_context &loop, const clock_source &clock,
                                     activity_service &activity, const membership &members)
    : m_clock{clock}
    , m_activity{activity}
    , m_members{members}
    , m_probes{loop, clock}
{ }

void activity_reporter::refresh(const wire::fleet_document &fleet, const wire::vm_list &list)
{
    m_probes.refresh(fleet, list);
    m_draining.clear();
    for (const wire::fleet_vm &vm : fleet.vms()) {
        if (vm.state() == wire::VM_STATE_DRAINING)
            m_draining.emplace_back(vm.id());
    }
    m_demand = m_activity.collector().takeDemand(m_clock.now());
}

std::vector<vm_observation> activity_reporter::observe() const
{
    std::vector<vm_observation> seen = m_probes.observe();
    const std::vector<member> fresh = m_members.freshMembers();
    const activity_collector &collector = m_activity.collector();
    for (const vm_id &vm : m_draining)
        seen.push_back(collector.observe(vm, fresh, m_clock.now()));
    return seen;
}

} // namespace azurelb
