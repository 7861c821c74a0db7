#include <azurelb_bench/load_run.hpp>

#include <algorithm>

namespace azurelb::bench {

load_run::load_run(std::vector<stream_options> streams, std::chrono::milliseconds duration)
    : m_duration{duration}
{
    for (stream_options &each : streams)
        m_streams.push_back(std::make_unique<load_stream>(m_loop, std::move(each)));
}

void load_run::run()
{
    m_start = load_stream::clock::now();
    tick();
    m_loop.run();
}

std::vector<stream_result> load_run::results() const
{
    std::vector<stream_result> all;
    std::transform(m_streams.begin(), m_streams.end(), std::back_inserter(all),
                   [](const auto &each) { return each->result(); });
    return all;
}

void load_run::tick()
{
    constexpr std::chrono::milliseconds interval{1};
    const auto now = load_stream::clock::now();
    const bool over = now >= m_start + m_duration;
    for (const auto &each : m_streams) {
        if (over)
            each->dropPending();
        else
            each->issueDueCalls(m_start, now);
    }
    const bool idle = std::all_of(m_streams.begin(), m_streams.end(),
                                  [](const auto &each) { return each->isIdle(); });
    if (over && idle) {
        m_loop.stop();
        return;
    }
    m_timer.expires_after(interval);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled)
            tick();
    });
}

} // namespace azurelb::bench
