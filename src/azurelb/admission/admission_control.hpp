#pragma once

#include <azurelb/admission/load_forecast.hpp>
#include <azurelb/catalogue/fwd.hpp>
#include <azurelb/core/boot_clock.hpp>
#include <azurelb/jobs/fwd.hpp>

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace azurelb {

/** Why a job is not accepted. */
enum class rejection_reason {
    none,
    /** Its pool can't complete it while its caller still has a use for the result. */
    pool_overloaded
};

[[nodiscard]] std::string_view toString(rejection_reason reason) noexcept;

/** Decision on a job, with the figures that led to it. */
struct admission_decision
{
    rejection_reason reason{rejection_reason::none};
    /** Time after which the caller should submit the job again. */
    std::chrono::milliseconds retryAfter{0};
    /** Predicted time from the first submission to the completion of the job, and the longest that
       is of use. */
    std::chrono::milliseconds predicted{0};
    std::chrono::milliseconds limit{0};
    std::chrono::milliseconds forecastAge{0};

    [[nodiscard]] bool admitted() const noexcept { return reason == rejection_reason::none; }
};

/**
 * Decides on a daemon whether a job is accepted, from the latest forecast of the owner.
 *
 * Load pattern: a queue asks for more than its pool can serve for longer than callers can use the
 * results. Of the new jobs the fraction that the pool can serve is admitted, see overload_control.
 * A job that was rejected before can't be in time any more, so while new jobs are rejected it is
 * admitted only if it completes while its result is of use. Accepted jobs are not affected.
 *
 * Rejected callers get times to return at, one after the other in the order of their rejection,
 * from the time on at which the accepted work is done. Each daemon sees a part of all callers, so
 * it multiplies the work of its own by the number of daemons.
 */
class admission_control
{
public:
    struct options
    {
        /** Multiple of its objective up to which a completed job is of use to its caller. */
        double usefulFactor{3.0};
        /** Age at which a forecast no longer says anything about the present. */
        std::chrono::milliseconds maxForecastAge{2000};
        std::chrono::milliseconds minRetryAfter{250};
        std::chrono::milliseconds maxRetryAfter{20'000};
    };

    explicit admission_control(const options &with)
        : m_options{with}
    { }

    void applyForecast(load_forecast forecast, boot_time now);
    void setDaemonCount(std::size_t count) noexcept { m_daemons = count; }

    /**
     * Decides on a job of the queue; scheduled and long-running jobs are always admitted. elapsed
     * is the time since the job was first submitted and rejected; 0 for a new job.
     */
    [[nodiscard]] admission_decision decide(const job_record &job, const queue_entry &queue,
                                            boot_time now, std::chrono::milliseconds elapsed = {});

private:
    [[nodiscard]] const pool_forecast *findPool(const std::string &pool) const;
    /** Whether the next new job of the pool is one of the fraction to reject. */
    [[nodiscard]] bool isAmongRejected(const pool_forecast &pool);
    /** Returns the time after which a rejected caller should return. */
    [[nodiscard]] std::chrono::milliseconds nextReturn(const job_record &job,
                                                       const pool_forecast &pool,
                                                       std::chrono::milliseconds drain,
                                                       boot_time now);

    options m_options;
    load_forecast m_forecast{};
    boot_time m_receivedAt{};
    std::size_t m_daemons{1};
    /** Latest time to return at that a rejected caller got, by pool. */
    std::map<std::string, boot_time> m_lastReturns{};
    /** Sums of the fractions to reject, by pool; each whole unit rejects one job. */
    std::map<std::string, double> m_sums{};
};

} // namespace azurelb
