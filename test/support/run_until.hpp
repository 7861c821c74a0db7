#pragma once

#include "child_process.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>

namespace azurelb::test {

/** Runs the event loop until the condition holds; returns false on timeout. */
template <typename Condition>
[[nodiscard]] bool runUntil(boost::asio::io_context &loop, Condition condition,
                            std::chrono::milliseconds limit = defaultWaitLimit)
{
    constexpr std::chrono::milliseconds step{5};
    const auto work = boost::asio::make_work_guard(loop);
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        loop.restart();
        loop.run_one_for(step);
    }
    return condition();
}

} // namespace azurelb::test
