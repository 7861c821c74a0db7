#include <azurelb/admission/admission_control.hpp>
#include <azurelb/catalogue/queue_entry.hpp>
#include <azurelb/jobs/job_record.hpp>
#include <azurelb/jobs/job_work.hpp>

#include <algorithm>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

milliseconds fromDouble(double count)
{
    return milliseconds{static_cast<std::int64_t>(count)};
}

bool isShort(const job_record &job)
{
    return job.repeats == 0
        && std::none_of(job.steps.begin(), job.steps.end(),
                        [](const job_step &each) { return each.longRunning; });
}

} // namespace

std::string_view toString(rejection_reason reason) noexcept
{
    switch (reason) {
    case rejection_reason::none:
        return "none";
    case rejection_reason::pool_overloaded:
        return "pool-overloaded";
    }
    return "invalid";
}

void admission_control::applyForecast(load_forecast forecast, boot_time now)
{
    m_forecast = std::move(forecast);
    m_receivedAt = now;
}

const pool_forecast *admission_control::findPool(const std::string &pool) const
{
    const auto found =
        std::find_if(m_forecast.pools.begin(), m_forecast.pools.end(),
                     [&pool](const pool_forecast &each) { return each.pool == pool; });
    return found == m_forecast.pools.end() ? nullptr : &*found;
}

admission_decision admission_control::decide(const job_record &job, const queue_entry &queue,
                                             boot_time now, milliseconds elapsed)
{
    admission_decision decision;
    decision.forecastAge = now - m_receivedAt;
    const pool_forecast *const pool = findPool(job.pool);
    if (!pool || decision.forecastAge > m_options.maxForecastAge || !isShort(job))
        return decision;
    const milliseconds chain = criticalPathLength(job.steps);
    const milliseconds objective =
        fromDouble(static_cast<double>(chain.count()) * queue.stretch) + queue.target;
    decision.limit = fromDouble(static_cast<double>(objective.count()) * m_options.usefulFactor);

    const milliseconds drain = std::max(pool->drain - decision.forecastAge, milliseconds{0});
    decision.predicted = elapsed + drain + chain;
    const bool isNew = elapsed.count() == 0;
    const bool isOverloaded = pool->admitted < 1;
    if (isOverloaded && (isNew ? isAmongRejected(*pool) : decision.predicted > decision.limit))
        decision.reason = rejection_reason::pool_overloaded;
    if (!decision.admitted())
        decision.retryAfter = nextReturn(job, *pool, drain, now);
    return decision;
}

bool admission_control::isAmongRejected(const pool_forecast &pool)
{
    double &sum = m_sums[pool.pool];
    sum += 1 - pool.admitted;
    if (sum < 1)
        return false;
    sum -= 1;
    return true;
}

milliseconds admission_control::nextReturn(const job_record &job, const pool_forecast &pool,
                                           milliseconds drain, boot_time now)
{
    const double workOfAll = shortWorkCoreMs(job.steps) * static_cast<double>(m_daemons);
    const milliseconds own = fromDouble(workOfAll / std::max(pool.cores, 1.0));
    boot_time &last = m_lastReturns[job.pool];
    last = std::clamp(std::max(now + drain, last + own), now + m_options.minRetryAfter,
                      now + m_options.maxRetryAfter);
    return last - now;
}

} // namespace azurelb
