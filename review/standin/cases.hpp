#pragma once

#include "world.hpp"

namespace review {

/** Plays a case; returns its exit code. */
using scenario = boost::asio::awaitable<int> (*)(world &, bool troubled);

boost::asio::awaitable<int> playManyEnds(world &all, bool troubled);
boost::asio::awaitable<int> playForgottenJob(world &all, bool troubled);
boost::asio::awaitable<int> playForgottenJobBefore(world &all, bool troubled);
boost::asio::awaitable<int> playNewerConfiguration(world &all, bool troubled);
boost::asio::awaitable<int> playLateWrite(world &all, bool troubled);
boost::asio::awaitable<int> playQuickRestart(world &all, bool troubled);
boost::asio::awaitable<int> playWaitingOrders(world &all, bool troubled);

} // namespace review
