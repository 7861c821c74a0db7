#pragma once

#include <azurelb_bench/fwd.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace azurelb::bench {

/** Exact percentiles of the durations added. */
class latency_samples
{
public:
    using value_type = std::chrono::microseconds;

    void add(value_type sample) { m_samples.push_back(sample); }

    void add(const latency_samples &other)
    {
        m_samples.insert(m_samples.end(), other.m_samples.begin(), other.m_samples.end());
    }

    /** Nearest-rank percentile, 0 to 100; zero if there is no sample. */
    [[nodiscard]] value_type percentile(double percent) const
    {
        if (m_samples.empty())
            return {};
        std::vector<value_type> sorted{m_samples};
        const auto last = static_cast<double>(sorted.size() - 1);
        const auto rank = static_cast<std::ptrdiff_t>(last * percent / 100.0);
        std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
        return sorted[static_cast<std::size_t>(rank)];
    }

private:
    std::vector<value_type> m_samples{};
};

} // namespace azurelb::bench
