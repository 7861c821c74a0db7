#include <azurelb/capacity/burst_predictor.hpp>

#include <algorithm>

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
        pool.inBurst = false;
    else
        pool.burstCores = burstMean;
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

bool burst_predictor::isBurstExpected(const std::string &pool, boot_time now) const
{
    if (m_onsets.size() < 2)
        return false;
    // Once all pools have had a burst, the next is expected in the least recent one.
    const auto lastOnset = [this](const std::string &name) {
        const auto found = std::find_if(m_onsets.rbegin(), m_onsets.rend(),
                                        [&name](const onset &each) { return each.pool == name; });
        return found == m_onsets.rend() ? boot_time::min() : found->at;
    };
    std::string next;
    boot_time oldest = boot_time::max();
    for (const auto &[name, entry] : m_pools) {
        const boot_time last = lastOnset(name);
        if (last == boot_time::min() && entry.totalCoreMs > 0)
            return false;
        if (last < oldest) {
            oldest = last;
            next = name;
        }
    }
    if (next != pool)
        return false;
    const std::size_t intervals = std::min(m_onsets.size() - 1, intervalsAveraged);
    const milliseconds meanInterval =
        (m_onsets.back().at - m_onsets[m_onsets.size() - 1 - intervals].at)
        / static_cast<milliseconds::rep>(intervals);
    const boot_time expected = m_onsets.back().at + meanInterval;
    return now >= expected - m_options.leadTime && now <= expected + m_options.maxOnsetDelay;
}

double burst_predictor::expectedCores(const std::string &pool, boot_time now)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return 0;
    update(pool, found->second, now);
    const double rate = currentRate(found->second, now);
    return isBurstExpected(pool, now) ? std::max(rate, found->second.burstCores) : rate;
}

} // namespace azurelb
