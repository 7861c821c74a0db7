#include <azurelb/activity/activity_reporter.hpp>
#include <azurelb/activity/activity_service.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/config/replicated_documents.hpp>
#include <azurelb/fleet/planner_service.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/limits/rights_limit_service.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/heartbeat_membership.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/operations/operator_api.hpp>
#include <azurelb/peer/nng_options.hpp>
#include <azurelb/peer/nng_transport.hpp>
#include <azurelb/peer/transport_metrics.hpp>
#include <azurelb/platform/http_vm_controls.hpp>
#include <azurelb/platform/polling_vm_list.hpp>
#include <azurelb/request/caller_api.hpp>
#include <azurelb/share/dispatched_slot_service.hpp>
#include <azurelb/share/share_options.hpp>
#include <azurelb/store/etcd_store.hpp>
#include <azurelb/upstream/view_upstream_directory.hpp>
#include <azurelbd/daemon_process.hpp>
#include <azurelbd/departure_tracker.hpp>
#include <azurelbd/peer_directory.hpp>

#include <algorithm>
#include <iterator>
#include <random>

namespace azurelb {

namespace {

/** A daemon unresponsive for this long counts as replaced if another one uses its VM name. */
constexpr std::chrono::seconds replacementDelay{10};

etcd_options storeOptions(const settings &from)
{
    etcd_options options;
    std::transform(from.storeEndpoints.begin(), from.storeEndpoints.end(),
                   std::back_inserter(options.endpoints),
                   [](const std::string &each) { return parseEndpoint(each).value(); });
    return options;
}

nng_options peerOptions(const settings &from)
{
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> anyNumber;
    return {from.vm, incarnation{anyNumber(source)}, from.peerListen};
}

replica_options replicaOptions(const settings &from)
{
    replica_options options;
    options.expectedMembers = static_cast<std::uint32_t>(from.entryVms);
    options.maxConfirmationAge = from.freshness;
    return options;
}

rights_options rightsOptions(const settings &from)
{
    rights_options options;
    options.maxRequestTime = from.callers.maxTimeout;
    options.replacementDelay = replacementDelay;
    return options;
}

share_options shareOptions(const settings &from)
{
    share_options options;
    options.maxSlotsPerDaemon = static_cast<std::uint32_t>(from.connections.maxPerUpstream);
    return options;
}

} // namespace

daemon_process::daemon_process(settings options)
    : m_settings{std::move(options)}
    , m_signals{m_loop, SIGTERM, SIGINT}
    , m_shutdown{m_loop, m_services, m_settings.drainDelay, m_settings.callers.maxTimeout}
{
    addPlatformServices();
    addFleetServices();
    addRequestServices();
}

daemon_process::~daemon_process() = default;

void daemon_process::run()
{
    awaitSignal();
    m_services.start();
    logEvent(event::daemon_started,
             {{"zone", m_settings.zone.value()},
              {"listen", m_settings.callers.listen},
              {"operator_listen", m_settings.operatorListen}});
    m_services.find<caller_api>(caller_api::serviceName).setReady(true);
    m_loop.run();
    m_services.stop();
    finishCoroutines();
}

// Unfinished coroutines hold slots and connections of the services, which are destroyed next.
void daemon_process::finishCoroutines()
{
    constexpr std::chrono::seconds maxDuration{1};
    m_loop.restart();
    m_loop.run_for(maxDuration);
}

void daemon_process::addPlatformServices()
{
    platform_options platform;
    platform.endpoint = parseEndpoint(m_settings.platformEndpoint).value();
    m_services.emplace<metrics>();
    m_services.emplace<etcd_store>(m_loop, m_clock, storeOptions(m_settings));
    m_services.emplace<nng_transport>(m_loop, peerOptions(m_settings));
    m_services.emplace<transport_metrics>(m_loop);
    m_services.emplace<polling_vm_list>(m_loop, platform);
    m_services.emplace<http_vm_controls>(m_loop, platform);
}

void daemon_process::addFleetServices()
{
    m_services.emplace<heartbeat_membership>(m_loop, m_clock);
    m_services.emplace<peer_directory>(m_settings.peers);
    m_services.emplace<replicated_documents>(m_loop, m_clock, replicaOptions(m_settings));
    m_services.emplace<view_upstream_directory>();
    const auto &departures = m_services.emplace<departure_tracker>(m_loop, m_clock, m_settings.vm);
    m_services.emplace<rights_limit_service>(m_loop, m_clock, departures.departures(),
                                             rightsOptions(m_settings));
}

void daemon_process::addRequestServices()
{
    m_services.emplace<dispatched_slot_service>(m_loop, m_clock, shareOptions(m_settings));
    auto &activity = m_services.emplace<activity_service>(m_loop, m_clock);
    const auto &members = m_services.find<membership>(membership::serviceName);
    m_reporter = std::make_unique<activity_reporter>(m_loop, m_clock, activity, members);
    m_services.emplace<planner_service>(m_loop, m_clock, *m_reporter);
    m_services.emplace<caller_api>(m_loop, m_clock, m_settings.callers, m_settings.connections);
    m_services.emplace<operator_api>(m_loop, m_settings);
}

void daemon_process::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &cancelled, int) {
        if (cancelled)
            return;
        m_shutdown.begin([this] { m_loop.stop(); });
        awaitSignal();
    });
}

} // namespace azurelb
