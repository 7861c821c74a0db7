#pragma once

#include <azurelb/core/boot_clock.hpp>

#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Forecasts the processors that each pool's arrivals ask for. Load pattern: queues that ask five
 * times their mean by turns, in the same order. Within a turn the rate of arrivals tells the need
 * before the backlog does; once every pool has had a turn, the next one is expected after the
 * usual gap for the pool whose last turn is longest ago.
 */
class turn_predictor
{
public:
    struct options
    {
        /** Arrivals of this time make up the rate. */
        std::chrono::milliseconds window{500};
        /** A turn begins when the rate exceeds the mean this many times. Turns reach five. */
        double riseFactor{2.0};
        /** It ends when the rate falls below this part of the turn's mean. Between turns it is
            a hundredth. */
        double fallFactor{0.3};
        /** The mean is taken over this time at least, so that a first turn is noticed. */
        std::chrono::milliseconds leastHistory{8000};
        /** Rate, in cores, below which there is no turn: some VMs carry it in any case. */
        double leastCores{200};
        /** A turn is prepared for this long before it is expected: the time of a move, 1.5 s, and
            that after which a turn is noticed. */
        std::chrono::milliseconds lead{1900};
        /** An expected turn that has not begun so long after its time is given up. */
        std::chrono::milliseconds patience{1000};
    };

    explicit turn_predictor(const options &with);

    /** Work, in core-milliseconds, that has arrived for a pool. */
    void note(const std::string &pool, double work, boot_time now);

    /** Cores that the pool's arrivals ask for now, or will within the lead. */
    [[nodiscard]] double expectedCores(const std::string &pool, boot_time now);

private:
    struct arrival
    {
        boot_time at{};
        double work{0};
    };
    struct history
    {
        std::deque<arrival> recent{};
        double recentWork{0};
        double totalWork{0};
        bool inTurn{false};
        boot_time turnBegan{};
        double turnWork{0};
        /** Mean rate of the last turn, in cores; 0 before the first. */
        double turnCores{0};
    };
    struct onset
    {
        std::string pool{};
        boot_time at{};
    };

    void update(const std::string &name, history &pool, boot_time now);
    [[nodiscard]] double rateOf(const history &pool) const;
    [[nodiscard]] bool isExpected(const std::string &pool, boot_time now) const;

    options m_options;
    std::unordered_map<std::string, history> m_pools{};
    std::vector<onset> m_onsets{};
    boot_time m_begun{};
};

} // namespace azurelb
