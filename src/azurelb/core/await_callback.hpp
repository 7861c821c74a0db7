#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace azurelb {

/**
 * Suspends the coroutine until a completion handler is called. start is invoked at once with that
 * handler, a callable that takes a Result. Returns no value if the coroutine is cancelled first; a
 * later call of the handler then has no effect.
 */
template <typename Result, typename Start>
[[nodiscard]] boost::asio::awaitable<std::optional<Result>>
awaitCallback(boost::asio::io_context &loop, Start start)
{
    struct pending_result
    {
        boost::asio::steady_timer timer;
        std::optional<Result> result{};
    };
    auto state = std::make_shared<pending_result>(pending_result{
        boost::asio::steady_timer{loop, boost::asio::steady_timer::time_point::max()}, {}});
    start([state](const Result &result) {
        state->result = result;
        state->timer.cancel();
    });
    boost::system::error_code waitError;
    if (!state->result)
        co_await state->timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, waitError));
    co_return std::move(state->result);
}

} // namespace azurelb
