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
 * times their mean by turns, in the same order, with jobs whose sizes differ by a factor of ten.
 * Within a turn the rate of arrivals tells the need before the backlog does; once every pool has
 * had a turn, the next one is expected after the usual gap for the pool whose last turn is longest
 * ago.
 */
class burst_predictor
{
public:
    struct options
    {
        /** Arrivals of this time show the beginning of a turn. */
        std::chrono::milliseconds onsetWindow{500};
        /** Within a turn the rate is at least that of this time, or of the turn so far: ten to
            fifty jobs arrive in a second, so a shorter window measures the sizes of single jobs. */
        std::chrono::milliseconds rateWindow{2000};
        /** Arrivals of this time show its end. */
        std::chrono::milliseconds endWindow{1000};
        /** A turn begins when the rate exceeds the mean this many times. Turns reach five. */
        double riseFactor{2.0};
        /** It ends when the rate falls below this part of the turn's mean. Between turns it is
            a hundredth. */
        double fallFactor{0.3};
        /** The mean is taken over this time at least, so that a first turn is noticed. */
        std::chrono::milliseconds minHistory{8000};
        /** Jobs in the window that make a turn. One large job may ask for more than a turn does;
            two within half a second are rare between turns. */
        std::size_t minOnsetJobs{2};
        /** Part of a pool's equal share of all processors below which a rate is no turn: the ready
            VMs carry it, and a few large jobs reach it between turns. */
        double minOnsetShare{0.3};
        /** A turn is prepared for this long before it is expected: the time of a move, 1.5 s, and
            that after which a turn is noticed. */
        std::chrono::milliseconds leadTime{1900};
        /** An expected turn that has not begun so long after its time is given up. */
        std::chrono::milliseconds maxOnsetDelay{1000};
    };

    explicit burst_predictor(const options &settings);

    /** Processors of all VMs, in cores, divided by the number of pools. */
    void setEqualShare(double cores) noexcept { m_equalShare = cores; }

    /** Work, in core-milliseconds, that has arrived for a pool. */
    void recordArrival(const std::string &pool, double coreMs, boot_time now);

    /** Cores that the pool's arrivals ask for now, or will within the lead. */
    [[nodiscard]] double expectedCores(const std::string &pool, boot_time now);

private:
    struct arrival
    {
        boot_time at{};
        double coreMs{0};
    };
    struct history
    {
        /** Of the longest window. */
        std::deque<arrival> recent{};
        double totalCoreMs{0};
        bool inBurst{false};
        boot_time burstStart{};
        double burstCoreMs{0};
        /** Mean rate of the last turn, in cores; 0 before the first. */
        double burstCores{0};
    };
    struct onset
    {
        std::string pool{};
        boot_time at{};
    };

    void update(const std::string &name, history &pool, boot_time now);
    void detectOnset(const std::string &name, history &pool, boot_time now);
    [[nodiscard]] double currentRate(const history &pool, boot_time now) const;
    [[nodiscard]] bool isBurstExpected(const std::string &pool, boot_time now) const;

    options m_options;
    double m_equalShare{0};
    std::unordered_map<std::string, history> m_pools{};
    std::vector<onset> m_onsets{};
    boot_time m_firstArrival{};
};

} // namespace azurelb
