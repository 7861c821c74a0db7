#pragma once

#include "world.hpp"

namespace review {

/** Outcome of a case, which is the exit status of its script. */
enum class verdict { held = 0, broken = 1, not_run = 2 };

using case_run = asio::awaitable<verdict> (*)(world &in, bool trouble);

asio::awaitable<verdict> cancelledBeforeFrozenSubmission(world &in, bool trouble);
asio::awaitable<verdict> overdueOccurrences(world &in, bool trouble);
asio::awaitable<verdict> gangWithoutRoom(world &in, bool trouble);
asio::awaitable<verdict> gangAfterCrash(world &in, bool trouble);
asio::awaitable<verdict> waveOfNewMachine(world &in, bool trouble);

} // namespace review
