#pragma once

#include <azurelb_bench/latency_samples.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurelb::bench {

/** Counts and latencies of the calls of a stream. */
struct stream_result
{
    std::uint64_t offered{};
    std::uint64_t completed{};
    /** Failed calls by HTTP status, or "connection" if there was no response. */
    std::map<std::string, std::uint64_t> refused{};
    /** Completed calls in each interval of 100 ms since the start. */
    std::vector<std::uint64_t> completedPer100Ms{};
    latency_samples latency{};

    void add(const stream_result &other)
    {
        offered += other.offered;
        completed += other.completed;
        for (const auto &[kind, count] : other.refused)
            refused[kind] += count;
        if (completedPer100Ms.size() < other.completedPer100Ms.size())
            completedPer100Ms.resize(other.completedPer100Ms.size());
        for (std::size_t index = 0; index < other.completedPer100Ms.size(); ++index)
            completedPer100Ms[index] += other.completedPer100Ms[index];
        latency.add(other.latency);
    }
};

} // namespace azurelb::bench
