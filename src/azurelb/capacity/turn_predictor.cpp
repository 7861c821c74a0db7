#include <azurelb/capacity/turn_predictor.hpp>

#include <algorithm>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Turns from which the usual gap is taken. */
constexpr std::size_t gapsConsidered{4};
/** No rate is taken over less time. */
constexpr milliseconds shortest{100};

/** Work that arrived in the window, as cores. */
template <typename Arrivals>
double rateOf(const Arrivals &recent, milliseconds window, boot_time now)
{
    double work = 0;
    for (auto each = recent.rbegin(); each != recent.rend() && each->at + window > now; ++each)
        work += each->work;
    return work / static_cast<double>(window.count());
}

template <typename Arrivals>
std::size_t countSince(const Arrivals &recent, boot_time from)
{
    return static_cast<std::size_t>(std::count_if(
        recent.begin(), recent.end(), [from](const auto &each) { return each.at > from; }));
}

} // namespace

turn_predictor::turn_predictor(const options &with)
    : m_options{with}
{ }

void turn_predictor::note(const std::string &pool, double work, boot_time now)
{
    if (m_begun == boot_time{})
        m_begun = now;
    history &entry = m_pools[pool];
    entry.recent.push_back({now, work});
    entry.totalWork += work;
    if (entry.inTurn)
        entry.turnWork += work;
    update(pool, entry, now);
}

void turn_predictor::update(const std::string &name, history &pool, boot_time now)
{
    while (!pool.recent.empty() && pool.recent.front().at + m_options.rateWindow <= now)
        pool.recent.pop_front();
    if (!pool.inTurn) {
        beginTurn(name, pool, now);
        return;
    }
    const milliseconds length = now - pool.turnBegan;
    const double turnMean = pool.turnWork / static_cast<double>(std::max(length, shortest).count());
    if (length >= m_options.endWindow
        && rateOf(pool.recent, m_options.endWindow, now) < m_options.fallFactor * turnMean)
        pool.inTurn = false;
    else
        pool.turnCores = turnMean;
}

void turn_predictor::beginTurn(const std::string &name, history &pool, boot_time now)
{
    const milliseconds elapsed = std::max(now - m_begun, m_options.leastHistory);
    const double mean = pool.totalWork / static_cast<double>(elapsed.count());
    const double rate = rateOf(pool.recent, m_options.onsetWindow, now);
    if (countSince(pool.recent, now - m_options.onsetWindow) < m_options.leastJobs
        || rate < m_options.leastShare * m_equalShare || rate < m_options.riseFactor * mean)
        return;
    pool.inTurn = true;
    pool.turnBegan = now - m_options.onsetWindow;
    pool.turnWork = rate * static_cast<double>(m_options.onsetWindow.count());
    m_onsets.push_back({name, now});
}

double turn_predictor::rateNow(const history &pool, boot_time now) const
{
    const double latest = rateOf(pool.recent, m_options.onsetWindow, now);
    if (!pool.inTurn)
        return latest;
    const milliseconds window = std::min(now - pool.turnBegan, m_options.rateWindow);
    return std::max(latest, rateOf(pool.recent, std::max(window, shortest), now));
}

bool turn_predictor::isExpected(const std::string &pool, boot_time now) const
{
    if (m_onsets.size() < 2)
        return false;
    // The pool whose last turn is longest ago comes next, once all have had one.
    const auto lastOf = [this](const std::string &name) {
        const auto found = std::find_if(m_onsets.rbegin(), m_onsets.rend(),
                                        [&name](const onset &each) { return each.pool == name; });
        return found == m_onsets.rend() ? boot_time::min() : found->at;
    };
    std::string next;
    boot_time oldest = boot_time::max();
    for (const auto &[name, entry] : m_pools) {
        const boot_time last = lastOf(name);
        if (last == boot_time::min() && entry.totalWork > 0)
            return false;
        if (last < oldest) {
            oldest = last;
            next = name;
        }
    }
    if (next != pool)
        return false;
    const std::size_t gaps = std::min(m_onsets.size() - 1, gapsConsidered);
    const milliseconds gap = (m_onsets.back().at - m_onsets[m_onsets.size() - 1 - gaps].at)
        / static_cast<milliseconds::rep>(gaps);
    const boot_time expected = m_onsets.back().at + gap;
    return now >= expected - m_options.lead && now <= expected + m_options.patience;
}

double turn_predictor::expectedCores(const std::string &pool, boot_time now)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return 0;
    update(pool, found->second, now);
    const double rate = rateNow(found->second, now);
    return isExpected(pool, now) ? std::max(rate, found->second.turnCores) : rate;
}

} // namespace azurelb
