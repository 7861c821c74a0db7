#pragma once

#include <azurelb_bench/fwd.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace azurelb::bench {

/** Collects durations and computes exact percentiles. */
class latency_samples
{
public:
    using value_type = std::chrono::microseconds;

    void add(value_type sample) { m_samples.push_back(sample); }

    void add(const latency_samples &other)
    {
        m_samples.insert(m_samples.end(), other.m_samples.begin(), other.m_samples.end());
    }

    /** Percentile (0 to 100), with the rank rounded down; zero if there are no samples. */
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
