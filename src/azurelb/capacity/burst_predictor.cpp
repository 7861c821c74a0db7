#include <azurelb/capacity/burst_predictor.hpp>

#include <algorithm>
#include <iterator>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Maximum number of intervals between bursts that are averaged. */
constexpr std::size_t intervalsAveraged{4};
/** Minimum time over which a rate is taken. */
constexpr milliseconds minRateWindow{100};

/** Returns the core-milliseconds per millisecond, in cores, that arrived in the window. */
template <typename Arrivals>
double arrivalRate(const Arrivals &recent, milliseconds window, boot_time now)
{
    double coreMs = 0;
    for (auto each = recent.rbegin(); each != recent.rend() && each->at + window > now; ++each)
        coreMs += each->coreMs;
    return coreMs / static_cast<double>(window.count());
}

template <typename Arrivals>
std::size_t countSince(const Arrivals &recent, boot_time from)
{
    return static_cast<std::size_t>(std::count_if(
        recent.begin(), recent.end(), [from](const auto &each) { return each.at > from; }));
}

} // namespace

burst_predictor::burst_predictor(const options &settings)
    : m_options{settings}
{ }

void burst_predictor::recordArrival(const std::string &pool, double coreMs, boot_time now)
{
    if (m_firstArrival == boot_time{})
        m_firstArrival = now;
    history &entry = m_pools[pool];
    entry.recent.push_back({now, coreMs});
    entry.totalCoreMs += coreMs;
    if (entry.inBurst)
        entry.burstCoreMs += coreMs;
    update(pool, entry, now);
    entry.lastArrival = now;
}

void burst_predictor::update(const std::string &name, history &pool, boot_time now)
{
    while (!pool.recent.empty() && pool.recent.front().at + m_options.rateWindow <= now)
        pool.recent.pop_front();
    if (!pool.inBurst) {
        detectOnset(name, pool, now);
        return;
    }
    const milliseconds length = now - pool.burstStart;
    const double burstMean =
        pool.burstCoreMs / static_cast<double>(std::max(length, minRateWindow).count());
    if (length >= m_options.endWindow
        && arrivalRate(pool.recent, m_options.endWindow, now) < m_options.fallFactor * burstMean)
        endBurst(name, pool);
    else {
        pool.burstCores = burstMean;
        pool.peakCores = std::max(pool.peakCores, currentRate(pool, now));
    }
}

void burst_predictor::endBurst(const std::string &name, history &pool)
{
    pool.inBurst = false;
    if (pool.lastArrival - pool.burstStart >= m_options.minBurstLength) {
        pool.endedPeakCores = std::max(pool.endedPeakCores, pool.peakCores);
        pool.lastBurstCores = pool.burstCores;
        return;
    }
    pool.burstCores = pool.lastBurstCores;
    const auto last = std::find_if(m_onsets.rbegin(), m_onsets.rend(),
                                   [&name](const onset &each) { return each.pool == name; });
    m_onsets.erase(std::next(last).base());
}

std::optional<double> burst_predictor::largestBurst() const
{
    double ended = 0;
    double peak = 0;
    for (const auto &[name, pool] : m_pools) {
        ended = std::max(ended, pool.endedPeakCores);
        peak = std::max(peak, pool.inBurst ? pool.peakCores : 0);
    }
    return ended > 0 ? std::optional{std::max(ended, peak)} : std::nullopt;
}

void burst_predictor::detectOnset(const std::string &name, history &pool, boot_time now)
{
    const milliseconds elapsed = std::max(now - m_firstArrival, m_options.minHistory);
    const double mean = pool.totalCoreMs / static_cast<double>(elapsed.count());
    const double rate = arrivalRate(pool.recent, m_options.onsetWindow, now);
    if (countSince(pool.recent, now - m_options.onsetWindow) < m_options.minOnsetJobs
        || rate < m_options.minOnsetShare * m_equalShare || rate < m_options.riseFactor * mean)
        return;
    pool.inBurst = true;
    pool.peakCores = 0;
    pool.burstStart = now - m_options.onsetWindow;
    pool.burstCoreMs = rate * static_cast<double>(m_options.onsetWindow.count());
    m_onsets.push_back({name, now});
}

double burst_predictor::currentRate(const history &pool, boot_time now) const
{
    const double latest = arrivalRate(pool.recent, m_options.onsetWindow, now);
    if (!pool.inBurst)
        return latest;
    const milliseconds window = std::min(now - pool.burstStart, m_options.rateWindow);
    return std::max(latest, arrivalRate(pool.recent, std::max(window, minRateWindow), now));
}

double burst_predictor::growingRate(const history &pool, double rate, boot_time now) const
{
    const milliseconds window = m_options.onsetWindow;
    const std::size_t recentJobs = countSince(pool.recent, now - window);
    const std::size_t earlierJobs = countSince(pool.recent, now - 2 * window) - recentJobs;
    if (!pool.inBurst || std::min(recentJobs, earlierJobs) < m_options.minGrowthJobs)
        return rate;
    const double latest = arrivalRate(pool.recent, window, now);
    const double earlier = 2 * arrivalRate(pool.recent, 2 * window, now) - latest;
    const double growth = (latest - earlier) / static_cast<double>(window.count())
        * static_cast<double>(m_options.growthTime.count());
    return std::max(rate, std::min(latest + growth, latest * m_options.maxGrowth));
}

boot_time burst_predictor::lastOnset(const std::string &pool) const
{
    const auto found = std::find_if(m_onsets.rbegin(), m_onsets.rend(),
                                    [&pool](const onset &each) { return each.pool == pool; });
    return found == m_onsets.rend() ? boot_time::min() : found->at;
}

bool burst_predictor::isBurstExpected(boot_time now) const
{
    if (m_onsets.size() < 2)
        return false;
    const std::size_t intervals = std::min(m_onsets.size() - 1, intervalsAveraged);
    const milliseconds meanInterval =
        (m_onsets.back().at - m_onsets[m_onsets.size() - 1 - intervals].at)
        / static_cast<milliseconds::rep>(intervals);
    const boot_time expected = m_onsets.back().at + meanInterval;
    return now >= expected - m_options.leadTime && now <= expected + m_options.maxOnsetDelay;
}

double burst_predictor::coresOfNextBurst(const std::string &pool) const
{
    std::size_t withoutBurst = 0;
    double knownCores = 0;
    std::string next;
    boot_time oldest = boot_time::max();
    for (const auto &[name, entry] : m_pools) {
        const boot_time last = lastOnset(name);
        if (last == boot_time::min())
            withoutBurst += entry.totalCoreMs > 0 ? 1 : 0;
        else if (last < oldest) {
            oldest = last;
            next = name;
        }
        knownCores += entry.burstCores;
    }
    const history &entry = m_pools.at(pool);
    if (withoutBurst == 0)
        return pool == next ? entry.burstCores : 0;
    const std::size_t known = m_pools.size() - withoutBurst;
    if (lastOnset(pool) != boot_time::min() || entry.totalCoreMs == 0 || known == 0)
        return 0;
    return knownCores / static_cast<double>(known * withoutBurst);
}

double burst_predictor::expectedCores(const std::string &pool, boot_time now)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return 0;
    update(pool, found->second, now);
    const double rate = growingRate(found->second, currentRate(found->second, now), now);
    return isBurstExpected(now) ? std::max(rate, coresOfNextBurst(pool)) : rate;
}

} // namespace azurelb
