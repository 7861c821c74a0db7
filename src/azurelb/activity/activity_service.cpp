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

constexpr std::chrono::seconds queryInterval{1};

std::int64_t toMicroseconds(time_point at)
{
    const auto sinceStart = at.time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceStart).count();
}

time_point toTimePoint(std::int64_t count)
{
    return time_point{std::chrono::microseconds{count}};
}

std::optional<vm_id> findPlanner(const std::vector<member> &members)
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
    m_transport->subscribe(serviceName,
                           [this](const wire::envelope &envelope) { receive(envelope); });
    queryMembers();
}

void activity_service::stop() noexcept
{
    m_timer.cancel();
}

bool activity_service::isPlanner() const
{
    return findPlanner(m_members->freshMembers()) == m_transport->self();
}

void activity_service::queryMembers()
{
    const std::vector<member> fresh = m_members->freshMembers();
    m_collector.retain(fresh);
    if (findPlanner(fresh) == m_transport->self()) {
        wire::activity_message message;
        message.mutable_query()->set_asked_at_us(toMicroseconds(m_clock.now()));
        for (const member &each : fresh)
            m_transport->send(each.vm, serviceName, message);
    }
    m_timer.expires_after(queryInterval);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled)
            queryMembers();
    });
}

void activity_service::receive(const wire::envelope &envelope)
{
    wire::activity_message message;
    if (!message.ParseFromString(envelope.payload()))
        return;
    const member from{vm_id{envelope.from_vm()}, incarnation{envelope.from_incarnation()}};
    if (message.has_query())
        sendReport(from.vm, message.query());
    if (message.has_report())
        m_collector.update(from, message.report(), toTimePoint(message.report().asked_at_us()));
}

void activity_service::sendReport(const vm_id &planner, const wire::activity_query &query)
{
    wire::activity_message message;
    m_recorder.writeReport(*message.mutable_report());
    message.mutable_report()->set_asked_at_us(query.asked_at_us());
    m_transport->send(planner, serviceName, message);
}

} // namespace azurelb
