#pragma once

#include <azurelb/core/boot_clock.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurelb {

/**
 * Predicts the cores that each pool needs from the rate at which work arrives.
 *
 * Expected load: queues burst to five times their mean in a fixed order, with job sizes that differ
 * by a factor of ten. During a burst the arrival rate shows the need earlier than the backlog does;
 * while many jobs arrive and the rate rises, it is extrapolated over the time of a move. The next
 * burst is expected after the mean interval between bursts: in the pools that have not had one,
 * with equal shares and the mean size of the others, or else in the pool with the least recent one.
 */
class burst_predictor
{
public:
    struct options
    {
        /** Window over which the start of a burst is detected. */
        std::chrono::milliseconds onsetWindow{500};
        /** Window of the arrival rate during a burst, or the length of the burst so far if that is
            shorter. 10 to 50 jobs arrive per second, so the rate of a shorter window is dominated
            by the sizes of single jobs. */
        std::chrono::milliseconds rateWindow{2000};
        /** Window over which the end of a burst is detected. */
        std::chrono::milliseconds endWindow{1000};
        /** A burst begins when the rate reaches this multiple of the mean. Bursts reach 5. */
        double riseFactor{2.0};
        /** A burst ends when the rate falls below this fraction of the burst's mean rate. Between
            bursts the rate is about a hundredth of it. */
        double fallFactor{0.3};
        /** Minimum time that the mean rate is taken over, so that the first burst exceeds it. */
        std::chrono::milliseconds minHistory{8000};
        /** A shorter burst was a few large jobs: it is forgotten. */
        std::chrono::milliseconds minBurstLength{2000};
        /** Minimum number of jobs in the onset window. A single large job may need more than a
            burst does; two jobs within half a second are rare between bursts. */
        std::size_t minOnsetJobs{2};
        /** Minimum rate of a burst as a fraction of the pool's equal share of all cores. The ready
            VMs can serve lower rates, which a few large jobs reach between bursts. */
        double minOnsetShare{0.3};
        /** Time before an expected burst from which its cores are predicted: 1.5 s for the move of
            a VM and the time to detect a burst. */
        std::chrono::milliseconds leadTime{1900};
        /** Time over which a rising rate is extrapolated: the duration of a move. */
        std::chrono::milliseconds growthTime{1500};
        /** Minimum number of jobs in each of two onset windows for an extrapolation. */
        std::size_t minGrowthJobs{10};
        /** Greatest ratio of an extrapolated rate to the present one. */
        double maxGrowth{2.0};
        /** Time after which an expected burst that has not begun is no longer predicted. */
        std::chrono::milliseconds maxOnsetDelay{1000};
    };

    explicit burst_predictor(const options &settings);

    /** Sets the cores of all VMs divided by the number of pools. */
    void setEqualShare(double cores) noexcept { m_equalShare = cores; }

    /** Records work, in core-milliseconds, that arrived for a pool. */
    void recordArrival(const std::string &pool, double coreMs, boot_time now);

    /** Returns the cores that the pool's arrivals need now or within options::leadTime. */
    [[nodiscard]] double expectedCores(const std::string &pool, boot_time now);

    /** Whether a burst has begun in any pool. */
    [[nodiscard]] bool hasSeenBurst() const noexcept { return !m_onsets.empty(); }

    /** Returns the cores that the largest burst needed at its peak; nullopt until one has ended. */
    [[nodiscard]] std::optional<double> largestBurst() const;

private:
    struct arrival
    {
        boot_time at{};
        double coreMs{0};
    };
    struct history
    {
        /** Arrivals within rateWindow. */
        std::deque<arrival> recent{};
        double totalCoreMs{0};
        bool inBurst{false};
        boot_time burstStart{};
        boot_time lastArrival{};
        double burstCoreMs{0};
        /** Mean rate of the present burst or the last one, in cores; 0 before the first. */
        double burstCores{0};
        /** Mean rate of the last burst that has ended, in cores. */
        double lastBurstCores{0};
        /** Greatest rate within the present burst or the last one, in cores. */
        double peakCores{0};
        /** Greatest rate within the bursts that have ended, in cores. */
        double endedPeakCores{0};
    };
    struct onset
    {
        std::string pool{};
        boot_time at{};
    };

    void update(const std::string &name, history &pool, boot_time now);
    void detectOnset(const std::string &name, history &pool, boot_time now);
    void endBurst(const std::string &name, history &pool);
    [[nodiscard]] double currentRate(const history &pool, boot_time now) const;
    /** Returns the present rate, extrapolated if it rises. */
    [[nodiscard]] double growingRate(const history &pool, double rate, boot_time now) const;
    [[nodiscard]] bool isBurstExpected(boot_time now) const;
    /** Returns the cores that an expected burst would need in the pool; 0 if it is expected in
        another one. */
    [[nodiscard]] double coresOfNextBurst(const std::string &pool) const;
    /** Returns the time of the pool's last onset; boot_time::min() if there was none. */
    [[nodiscard]] boot_time lastOnset(const std::string &pool) const;

    options m_options;
    double m_equalShare{0};
    std::unordered_map<std::string, history> m_pools{};
    std::vector<onset> m_onsets{};
    boot_time m_firstArrival{};
};

} // namespace azurelb
