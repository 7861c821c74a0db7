#pragma once

#include <azurelb/core/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>

namespace azurelb {

/**
 * Graceful shutdown. The daemon first reports not ready. After a delay, which lets load balancers
 * notice, it accepts no new work and no new connections. It ends once no request is in flight.
 */
class shutdown_sequence
{
public:
    /**
     * drainDelay: time between not ready and the end of new work. maxRequestTime: longest wait for
     * requests in flight after that.
     */
    shutdown_sequence(boost::asio::io_context &loop, kernel &services,
                      std::chrono::milliseconds drainDelay,
                      std::chrono::milliseconds maxRequestTime);
    shutdown_sequence(const shutdown_sequence &) = delete;
    shutdown_sequence &operator=(const shutdown_sequence &) = delete;

    /** Starts the shutdown and calls the handler at its end. Further calls have no effect. */
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
