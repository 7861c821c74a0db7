#pragma once

#include <azurelb_bench/fwd.hpp>

#include <chrono>
#include <cstdint>

namespace azurelb::bench {

/** Processor time and memory of a process, as the kernel reports them. */
struct process_usage
{
    std::chrono::milliseconds processorTime{};
    std::uint64_t residentBytes{};
    std::uint64_t threads{};
};

/** Current usage of the process; all zero if there is no process with that id. */
[[nodiscard]] process_usage readProcessUsage(int pid);

} // namespace azurelb::bench
