#pragma once

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace azurelb {

/**
 * Sets the timer anew and calls the function when it fires, unless the timer is cancelled or the
 * guard has gone by then. Destroying a timer alone does not suffice: a handler that is already
 * queued still runs.
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
