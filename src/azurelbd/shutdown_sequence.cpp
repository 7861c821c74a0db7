#include <azurelb/core/kernel.hpp>
#include <azurelb/limits/rights_limit_service.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/membership/heartbeat_membership.hpp>
#include <azurelb/request/caller_api.hpp>
#include <azurelb/share/dispatched_slot_service.hpp>
#include <azurelbd/shutdown_sequence.hpp>

namespace azurelb {

shutdown_sequence::shutdown_sequence(boost::asio::io_context &loop, kernel &services,
                                     std::chrono::milliseconds delay,
                                     std::chrono::milliseconds longest)
    : m_services{services}
    , m_timer{loop}
    , m_delay{delay}
    , m_longest{longest}
{ }

void shutdown_sequence::begin(std::function<void()> ended)
{
    if (hasBegun())
        return;
    m_ended = std::move(ended);
    auto &callers = m_services.find<caller_api>(caller_api::serviceName);
    logEvent(event::shutdown_began, {{"in_flight", callers.inFlight()}});
    callers.setReady(false);
    callers.announceClose();
    after(m_delay, &shutdown_sequence::endNewWork);
}

void shutdown_sequence::endNewWork()
{
    constexpr std::chrono::milliseconds idleGrace{500};
    m_services.find<heartbeat_membership>(membership::serviceName).leave();
    m_services.find<dispatched_slot_service>(slot_service::serviceName).drain();
    m_services.find<rights_limit_service>(limit_service::serviceName).handOver();
    m_services.find<caller_api>(caller_api::serviceName).drain(idleGrace);
    m_bound = std::chrono::steady_clock::now() + m_longest;
    after(idleGrace, &shutdown_sequence::awaitInFlight);
}

void shutdown_sequence::awaitInFlight()
{
    constexpr std::chrono::milliseconds interval{20};
    const std::size_t left = m_services.find<caller_api>(caller_api::serviceName).inFlight();
    if (left > 0 && std::chrono::steady_clock::now() < m_bound) {
        after(interval, &shutdown_sequence::awaitInFlight);
        return;
    }
    logEvent(event::shutdown_ended, {{"in_flight", left}});
    m_ended();
}

void shutdown_sequence::after(std::chrono::milliseconds pause, void (shutdown_sequence::*step)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this, step](const boost::system::error_code &cancelled) {
        if (!cancelled)
            (this->*step)();
    });
}

} // namespace azurelb
