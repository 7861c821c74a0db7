#pragma once

#include <azurelb/core/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>

namespace azurelb {

/**
 * Graceful shutdown: not ready; after a delay, in which the balancer notices, no new work and no
 * new connections; the end once nothing is in flight.
 */
class shutdown_sequence
{
public:
    /** The longest time that requests in flight may take is a bound on the whole. */
    shutdown_sequence(boost::asio::io_context &loop, kernel &services,
                      std::chrono::milliseconds drainDelay,
                      std::chrono::milliseconds maxRequestTime);
    shutdown_sequence(const shutdown_sequence &) = delete;
    shutdown_sequence &operator=(const shutdown_sequence &) = delete;

    /** Begins; later calls do nothing. The handler runs at the end. */
    void begin(std::function<void()> completed);

    [[nodiscard]] bool hasBegun() const noexcept { return m_onCompleted != nullptr; }

private:
    void stopAcceptingWork();
    void awaitInFlightRequests();
    void schedule(std::chrono::milliseconds delay, void (shutdown_sequence::*step)());

    kernel &m_services;
    boost::asio::steady_timer m_timer;
    std::chrono::milliseconds m_drainDelay;
    std::chrono::milliseconds m_maxRequestTime;
    time_point m_deadline{};
    std::function<void()> m_onCompleted{};
};

} // namespace azurelb
