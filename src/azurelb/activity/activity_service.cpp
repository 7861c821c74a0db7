#include <azurelb/activity/activity_service.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/core/rendezvous.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/wire/activity.pb.h>
#include <azurelb/wire/peer.pb.h>

#include <algorithm>
#include <iterator>
#include <optional>

namespace azurelb {

namespace {

constexpr std::chrono::seconds interval{1};

std::optional<vm_id> plannerAmong(const std::vector<member> &members)
{
    std::vector<vm_id> vms;
    std::transform(members.begin(), members.end(), std::back_inserter(vms),
                   [](const member &each) { return each.vm; });
    const vm_id *owner = rendezvousOwner(vms, activity_service::plannerKey);
    return owner ? std::optional{*owner} : std::nullopt;
}

} // namespace

activity_service::activity_service(boost::asio::io_context &loop, const clock_source &clock)
    : m_clock{clock}
    , m_timer{loop}
{ }

void activity_service::start(kernel &services)
{
    m_members = &services.find<membership>(membership::serviceName);
    m_transport = &services.find<peer_transport>(peer_transport::serviceName);
    m_transport->subscribe(serviceName, [this](const wire::envelope &envelope) {
        wire::activity_report report;
        const member from{vm_id{envelope.from_vm()}, incarnation{envelope.from_incarnation()}};
        if (report.ParseFromString(envelope.payload()))
            m_collector.update(from, report, m_clock.now());
    });
    report();
}

void activity_service::stop() noexcept
{
    m_timer.cancel();
}

bool activity_service::isPlanner() const
{
    return plannerAmong(m_members->fresh()) == m_transport->self();
}

void activity_service::report()
{
    const std::vector<member> fresh = m_members->fresh();
    m_collector.retain(fresh);
    if (const auto planner = plannerAmong(fresh)) {
        wire::activity_report report;
        m_recorder.write(report);
        m_transport->send(*planner, serviceName, report);
    }
    m_timer.expires_after(interval);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled)
            report();
    });
}

} // namespace azurelb
