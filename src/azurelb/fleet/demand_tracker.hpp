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

/** Demand of one queue, averaged so that peaks of a few seconds hardly change it. */
struct smoothed_demand
{
    /** Mean number of slots in use. */
    double loadErlangs{};
    std::chrono::milliseconds runTime{};
};

/** Exponential moving averages of the queues' demand. */
class demand_tracker
{
public:
    /** Updates the averages with the demand observed now; averagingTime is their time constant. */
    void observe(std::span<const queue_demand> demand, time_point now,
                 std::chrono::milliseconds averagingTime);

    /** Returns nothing until the queue has been observed for the averaging time. */
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
