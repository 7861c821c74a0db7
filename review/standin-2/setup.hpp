#pragma once

#include "world.hpp"

#include <memory>
#include <string>
#include <vector>

namespace standin {

/** One service with one queue and one tenant, in two zones. */
struct deployment
{
    deployment(std::size_t executorCount, std::size_t daemonCount);

    /** Starts the executors and daemons; false if they are not ready in time. */
    bool start();
    /** The daemon that gives the orders: its name is in the key that it holds. */
    daemon_process *orderingDaemon();
    /** A daemon that runs and is not the one given. */
    daemon_process &other(const daemon_process *than);

    store platform;
    std::vector<std::unique_ptr<executor>> executors;
    std::vector<std::unique_ptr<daemon_process>> daemons;
    caller client;
};

inline const std::string prefix{"/plans/"};

/** Returns the identifier of the job with this number. */
std::string jobId(int number);

/** Removes the daemons that the case started. */
void stopAll(deployment &from);

} // namespace standin
