#pragma once

#include <azurelb/activity/fwd.hpp>
#include <azurelb/fleet/tcp_probe_reporter.hpp>
#include <azurelb/fleet/vm_reporter.hpp>
#include <azurelb/membership/fwd.hpp>

#include <boost/asio/io_context.hpp>

namespace azurelb {

/** Observes the VMs by the running requests and demand that daemons report and by TCP probes. */
class activity_reporter final : public vm_reporter
{
public:
    activity_reporter(boost::asio::io_context &loop, const clock_source &clock,
                      activity_service &activity, const membership &members);

    void refresh(const wire::fleet_document &fleet, const wire::vm_list &list) override;
    [[nodiscard]] std::vector<vm_observation> observe() const override;
    [[nodiscard]] std::vector<queue_demand> demand() const override { return m_demand; }

private:
    const clock_source &m_clock;
    activity_service &m_activity;
    const membership &m_members;
    tcp_probe_reporter m_probes;
    std::vector<vm_id> m_draining{};
    std::vector<queue_demand> m_demand{};
};

} // namespace azurelb
