#pragma once

#include <azurelb/core/fwd.hpp>
#include <azurelb/fleet/fwd.hpp>
#include <azurelb/fleet/queue_demand.hpp>

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace azurelb {

/** Demand of one queue that lasts: peaks of seconds are averaged out. */
struct smoothed_demand
{
    /** Mean number of slots in use, in erlang. */
    double loadErlangs{};
    std::chrono::milliseconds runTime{};
};

/** Averages each queue's demand exponentially over the time given. */
class demand_tracker
{
public:
    void observe(std::span<const queue_demand> demand, time_point now,
                 std::chrono::milliseconds averagingTime);

    /** Nothing until the queue has been seen for as long as it is averaged over. */
    [[nodiscard]] std::optional<smoothed_demand> find(const std::string &queue) const;

private:
    struct average
    {
        smoothed_demand demand{};
        time_point first{};
        time_point last{};
        bool hasFullWindow{false};
    };

    std::unordered_map<std::string, average> m_queues{};
};

} // namespace azurelb
