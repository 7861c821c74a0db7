#pragma once

#include <azurelb/activity/activity_collector.hpp>
#include <azurelb/activity/activity_recorder.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/membership/fwd.hpp>
#include <azurelb/peer/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace azurelb {

namespace wire {
class activity_query;
} // namespace wire

/**
 * Records this daemon's activity and sends reports of it to the planner, the daemon that plans the
 * fleet, on its queries. The planner is the owner of `plannerKey` by rendezvous hashing over the
 * fresh members.
 */
class activity_service final : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"activity"};

    /** Key whose rendezvous owner plans the fleet. */
    static constexpr std::string_view plannerKey{"planner"};

    activity_service(boost::asio::io_context &loop, const clock_source &clock);

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }
    void start(kernel &services) override;
    void stop() noexcept override;

    [[nodiscard]] activity_recorder &recorder() noexcept { return m_recorder; }

    /** The members' reports; up to date only while this daemon is the planner. */
    [[nodiscard]] activity_collector &collector() noexcept { return m_collector; }

    /** True while this daemon is the planner. */
    [[nodiscard]] bool isPlanner() const;

private:
    void queryMembers();
    void receive(const wire::envelope &envelope);
    void sendReport(const vm_id &planner, const wire::activity_query &query);

    const clock_source &m_clock;
    boost::asio::steady_timer m_timer;
    membership *m_members{nullptr};
    peer_transport *m_transport{nullptr};
    activity_recorder m_recorder{};
    activity_collector m_collector{};
};

} // namespace azurelb
