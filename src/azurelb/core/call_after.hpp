#pragma once

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace azurelb {

/**
 * Restarts the timer and calls the function when it expires, unless the timer is cancelled or the
 * object behind alive has been destroyed by then. Destroying the timer alone does not suffice: a
 * handler that is already queued still runs.
 */
template <typename Function>
void callAfter(boost::asio::steady_timer &timer, std::chrono::milliseconds delay,
               std::weak_ptr<bool> alive, Function function)
{
    timer.expires_after(delay);
    timer.async_wait([alive = std::move(alive),
                      function = std::move(function)](const boost::system::error_code &cancelled) {
        if (!cancelled && !alive.expired())
            function();
    });
}

} // namespace azurelb
