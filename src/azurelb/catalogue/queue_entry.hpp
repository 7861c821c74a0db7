#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace azurelb {

/** A queue of the configuration. */
struct queue_entry
{
    std::string name{};
    std::string host{};
    /** Begins the path of every call to the queue. */
    std::string pathPrefix{};
    std::string pool{};
    /** 0 is served first. */
    std::int32_t priority{0};
    /** Runs of a task that may fail before its job fails; 0 for no bound. */
    std::uint32_t maxAttempts{0};
    /** A job's objective is this multiple of its longest chain of work, and the target more. */
    double stretch{1.0};
    std::chrono::milliseconds target{0};
    /** Calls need no key. */
    bool allowsAnonymous{false};
    /** The placement policy must be asked which executors may run a step. */
    bool needsAdvice{false};
};

} // namespace azurelb
