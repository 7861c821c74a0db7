#include <azurelb/core/kernel.hpp>
#include <azurelb/limits/rights_limit_service.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/heartbeat_membership.hpp>
#include <azurelb/request/caller_api.hpp>
#include <azurelb/share/dispatched_slot_service.hpp>
#include <azurelbd/shutdown_sequence.hpp>

namespace azurelb {

shutdown_sequence::shutdown_sequence(boost::asio::io_context &loop, kernel &services,
                                     std::chrono::milliseconds drainDelay,
                                     std::chrono::milliseconds maxRequestTime)
    : m_services{services}
    , m_timer{loop}
    , m_drainDelay{drainDelay}
    , m_maxRequestTime{maxRequestTime}
{ }

void shutdown_sequence::begin(std::function<void()> completed)
{
    if (hasBegun())
        return;
    m_onCompleted = std::move(completed);
    auto &callers = m_services.find<caller_api>(caller_api::serviceName);
    logEvent(event::shutdown_began, {{"in_flight", callers.inFlight()}});
    callers.setReady(false);
    callers.announceClose();
    schedule(m_drainDelay, &shutdown_sequence::stopAcceptingWork);
}

void shutdown_sequence::stopAcceptingWork()
{
    constexpr std::chrono::milliseconds idleGrace{500};
    m_services.find<heartbeat_membership>(membership::serviceName).leave();
    m_services.find<dispatched_slot_service>(slot_service::serviceName).drain();
    m_services.find<rights_limit_service>(limit_service::serviceName).handOver();
    m_services.find<caller_api>(caller_api::serviceName).drain(idleGrace);
    m_deadline = std::chrono::steady_clock::now() + m_maxRequestTime;
    schedule(idleGrace, &shutdown_sequence::awaitInFlightRequests);
}

void shutdown_sequence::awaitInFlightRequests()
{
    constexpr std::chrono::milliseconds pollInterval{20};
    const std::size_t inFlight = m_services.find<caller_api>(caller_api::serviceName).inFlight();
    if (inFlight > 0 && std::chrono::steady_clock::now() < m_deadline) {
        schedule(pollInterval, &shutdown_sequence::awaitInFlightRequests);
        return;
    }
    logEvent(event::shutdown_ended, {{"in_flight", inFlight}});
    m_onCompleted();
}

void shutdown_sequence::schedule(std::chrono::milliseconds delay, void (shutdown_sequence::*step)())
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, step](const boost::system::error_code &cancelled) {
        if (!cancelled)
            (this->*step)();
    });
}

} // namespace azurelb
