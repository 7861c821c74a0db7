#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace azurelb {

/** Configuration of a queue. */
struct queue_entry
{
    std::string name{};
    std::string host{};
    /** Prefix of the path of every request to the queue. */
    std::string pathPrefix{};
    std::string pool{};
    /** Lower values are scheduled first. */
    std::int32_t priority{0};
    /** Number of failed runs of a task at which its job fails; 0 for no limit. */
    std::uint32_t maxAttempts{0};
    /** A job's objective is its critical path times this factor, plus the target. */
    double stretch{1.0};
    std::chrono::milliseconds target{0};
    /** Requests need no key. */
    bool allowsAnonymous{false};
    /** The placement policy decides which executors may run a step. */
    bool needsAdvice{false};
};

} // namespace azurelb
