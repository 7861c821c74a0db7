#pragma once

#include <azurelb/admission/drain_forecast.hpp>
#include <azurelb/admission/load_forecast.hpp>
#include <azurelb/core/boot_clock.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace azurelb {

/**
 * Decides which fraction of the new jobs of each pool is admitted.
 *
 * Load pattern: a queue asks for more than its pool and the VMs that can move to it serve. New jobs
 * are placed first, so a part of them is in time; each of the others waits until all accepted work
 * is done. Once that would be after their result is of use, a job that can't be in time should be
 * rejected at once. As nothing tells which ones these are, the fraction that the pool can serve is
 * admitted and the rest rejected: as many jobs are in time, and no caller waits in vain.
 *
 * The accepted jobs are the admitted fraction of the offered ones, so the offered load is the
 * accepted load divided by the last fraction.
 */
class overload_control
{
public:
    struct options
    {
        /** Time ahead for which the backlog is extrapolated by the present rates. */
        std::chrono::milliseconds horizon{2000};
        /** Backlog, as drain time, up to which all jobs are admitted: at most three times the
            objective of short jobs, less their run time. */
        std::chrono::milliseconds maxDrain{5000};
        /** Drain time from which a pool is listed. */
        std::chrono::milliseconds minListedDrain{1000};
        /** Multiple of the capacity that is admitted, so that executors never wait for jobs. */
        double surplus{1.4};
        double minFraction{0.05};
    };

    overload_control(const options &with, boot_time now)
        : m_options{with}
        , m_updatedAt{now}
    { }

    /** Records the processor time, in core-milliseconds, of a job that was accepted. */
    void recordArrival(const std::string &pool, double coreMs) { m_accepted[pool] += coreMs; }

    /** Returns the forecasts of the pools with a backlog, for the time until the next call. */
    [[nodiscard]] std::vector<pool_forecast> update(const std::vector<pool_room> &rooms,
                                                    boot_time now);

private:
    /** acceptedCores is the processor time of the jobs accepted since the last call, over its time.
     */
    [[nodiscard]] double fractionOf(const pool_room &room, double acceptedCores,
                                    const pool_forecast &predicted);

    options m_options;
    /** Last fractions below 1, by pool. */
    std::map<std::string, double> m_fractions{};
    /** Processor time of the jobs accepted since the last call, by pool. */
    std::map<std::string, double> m_accepted{};
    boot_time m_updatedAt;
};

} // namespace azurelb
