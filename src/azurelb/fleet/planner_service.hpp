#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/service.hpp>
#include <azurelb/fleet/planner.hpp>
#include <azurelb/fleet/vm_reporter.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace azurelb {

class membership;
class metrics;
class peer_transport;
class vm_controls;
class vm_list_source;

/**
 * Runs the planner every second on the daemon that rendezvous hashing selects among the fresh
 * members. Two daemons may plan at the same time; compare-and-swap of the fleet document lets only
 * one of them commit.
 */
class planner_service final : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"planner"};

    /** The reporter and the clock must outlive the service. */
    planner_service(boost::asio::io_context &loop, const clock_source &clock, vm_reporter &reporter,
                    const fleet_options &options = {});
    ~planner_service() override;

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }

    /** Requires the services for documents, VM list, VM controls, membership, peer transport and
        metrics. */
    void start(kernel &services) override;
    void stop() noexcept override;

    /** Runs one planning step. Called by the timer, or by tests in its place. */
    void step();

    /** Returns whether this daemon is selected for planning. */
    [[nodiscard]] bool isPlanning() const noexcept { return m_isPlanning; }

private:
    void scheduleStep();
    void updateList();
    void updatePlannerRole();
    void commit(plan_result result, const fleet_view_ptr &fleet);
    void handleCommit(const plan_result &result, time_point sent, const fleet_outcome &outcome);
    void orderReboot(const reboot_order &order);
    void updateMetrics(const wire::config_document &config, const wire::fleet_document &fleet);
    [[nodiscard]] std::string nextStepId();

    const clock_source &m_clock;
    vm_reporter &m_reporter;
    fleet_options m_options;
    planner m_planner;
    boost::asio::steady_timer m_timer;
    document_source *m_documents{nullptr};
    vm_list_source *m_lists{nullptr};
    vm_controls *m_controls{nullptr};
    membership *m_members{nullptr};
    peer_transport *m_peers{nullptr};
    metrics *m_metrics{nullptr};
    vm_list_ptr m_list{};
    time_point m_listRequestedAt{};
    std::uint64_t m_steps{0};
    bool m_isPlanning{false};
    bool m_isCommitPending{false};
    /** Pending handlers hold a weak reference and do nothing once it has expired. */
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace azurelb
