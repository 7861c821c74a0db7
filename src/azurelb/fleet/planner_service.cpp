#include <azurelb/fleet/planner_service.hpp>

#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/config_view.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/core/rendezvous.hpp>
#include <azurelb/fleet/availability.hpp>
#include <azurelb/fleet/vm_index.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/member.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/peer_transport.hpp>
#include <azurelb/platform/vm_controls.hpp>
#include <azurelb/platform/vm_list_source.hpp>

#include <prometheus/gauge.h>

#include <vector>

namespace azurelb {

namespace {

constexpr std::chrono::seconds stepInterval{1};

void logRecords(const plan_result &result)
{
    for (const wire::audit_record &record : result.records) {
        logEvent(
            event::fleet_changed,
            {{"verb", record.verb()}, {"entity", record.entity()}, {"reason", record.reason()}});
    }
}

} // namespace

planner_service::planner_service(boost::asio::io_context &loop, const clock_source &clock,
                                 vm_reporter &reporter, const fleet_options &options)
    : m_clock{clock}
    , m_reporter{reporter}
    , m_options{options}
    , m_planner{options}
    , m_timer{loop}
{ }

planner_service::~planner_service() = default;

void planner_service::start(kernel &services)
{
    m_documents = &services.find<document_source>(document_source::serviceName);
    m_lists = &services.find<vm_list_source>(vm_list_source::serviceName);
    m_controls = &services.find<vm_controls>(vm_controls::serviceName);
    m_members = &services.find<membership>(membership::serviceName);
    m_peers = &services.find<peer_transport>(peer_transport::serviceName);
    m_metrics = &services.find<metrics>(metrics::serviceName);
    scheduleStep();
}

void planner_service::stop() noexcept
{
    m_alive.reset();
    m_timer.cancel();
}

void planner_service::scheduleStep()
{
    m_timer.expires_after(stepInterval);
    m_timer.async_wait([this](const boost::system::error_code &failure) {
        if (failure)
            return;
        step();
        scheduleStep();
    });
}

void planner_service::updateList()
{
    m_list = m_lists->list();
    m_listRequestedAt = m_lists->requestedAt();
}

void planner_service::updatePlannerRole()
{
    std::vector<vm_id> vms;
    for (const member &each : m_members->freshMembers())
        vms.push_back(each.vm);
    const vm_id *owner = rendezvousOwner(vms, serviceName);
    const bool isPlanning = owner && *owner == m_peers->self();
    if (isPlanning == m_isPlanning)
        return;
    m_isPlanning = isPlanning;
    logEvent(event::planner_changed, {{"planning", isPlanning ? "yes" : "no"}});
}

std::string planner_service::nextStepId()
{
    const auto process = static_cast<std::uint64_t>(m_peers->selfIncarnation());
    return "plan-" + m_peers->self().value() + "-" + std::to_string(process) + "-"
        + std::to_string(++m_steps);
}

void planner_service::step()
{
    updateList();
    updatePlannerRole();
    if (!m_isPlanning || m_isCommitPending || !m_list || !m_documents->isConfirmed())
        return;
    const config_view_ptr config = m_documents->config();
    const fleet_view_ptr fleet = m_documents->fleet();
    m_reporter.refresh(fleet->document(), *m_list);
    const std::vector<vm_observation> observations = m_reporter.observe();
    const std::vector<queue_demand> demand = m_reporter.demand();
    updateMetrics(config->document(), fleet->document());
    plan_result result = m_planner.plan(
        {config->document(), config->storeRevision(), fleet->document(), *m_list, m_listRequestedAt,
         observations, demand, m_clock.now(), m_clock.wallNow(), nextStepId()});
    if (result.document)
        commit(std::move(result), fleet);
}

void planner_service::commit(plan_result result, const fleet_view_ptr &fleet)
{
    m_isCommitPending = true;
    const time_point sent = m_clock.now();
    const auto sharedResult = std::make_shared<const plan_result>(std::move(result));
    const auto done = [this, sharedResult, sent,
                       alive = std::weak_ptr{m_alive}](const auto &outcome) {
        if (!alive.expired())
            handleCommit(*sharedResult, sent, outcome);
    };
    m_documents->replaceFleet(*sharedResult->document, fleet->storeRevision(),
                              sharedResult->records, done);
}

void planner_service::handleCommit(const plan_result &result, time_point sent,
                                   const fleet_outcome &outcome)
{
    m_isCommitPending = false;
    if (outcome.error != change_error::none) {
        logEvent(event::fleet_not_written, {{"detail", outcome.detail}});
        return;
    }
    logRecords(result);
    for (const reboot_order &order : result.reboots) {
        if (isRebootDue(sent, m_options, m_clock.now()))
            orderReboot(order);
    }
}

void planner_service::orderReboot(const reboot_order &order)
{
    const auto done = [vm = order.vm](control_outcome outcome) {
        const bool isAccepted = outcome == control_outcome::accepted;
        logEvent(isAccepted ? event::reboot_ordered : event::reboot_not_ordered,
                 {{"target", vm.value()}, {"outcome", toString(outcome)}});
    };
    m_controls->reboot(order.vm, done);
}

void planner_service::updateMetrics(const wire::config_document &config,
                                    const wire::fleet_document &fleet)
{
    const vm_index index{*m_list};
    const availability poolCounts{config, fleet, index};
    for (const wire::pool &pool : config.pools()) {
        const pool_availability &count = poolCounts.find(pool.name());
        const metrics::labels labels{{"pool", pool.name()}};
        m_metrics->gauge("azurelb_fleet_available_vms", "VMs that serve the pool", labels)
            .Set(count.available);
        const double left = static_cast<double>(pool.unavailable_vms()) - count.unavailable();
        m_metrics
            ->gauge("azurelb_fleet_budget_left", "VMs that may still become unavailable", labels)
            .Set(left);
    }
    m_metrics->gauge("azurelb_fleet_moves", "Moves of VMs in the last hour")
        .Set(fleet.recent_moves_ms_size());
}

} // namespace azurelb
