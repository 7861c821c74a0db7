#pragma once

#include <azurelb/core/clock_source.hpp>

#include <functional>
#include <queue>
#include <vector>

namespace azurelb {

/** Virtual clock with an event queue: time advances from event to event. */
class virtual_time final : public clock_source
{
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;

        [[nodiscard]] friend bool operator<(const event &left, const event &right) noexcept
        {
            return std::pair{left.at, left.order} > std::pair{right.at, right.order};
        }
    };

public:
    [[nodiscard]] time_point now() const noexcept override { return m_now; }

    [[nodiscard]] wall_time wallNow() const noexcept override
    {
        constexpr std::chrono::hours epochOffset{24 * 365 * 50};
        return wall_time{epochOffset}
        + std::chrono::duration_cast<wall_time::duration>(m_now.time_since_epoch());
    }

    void after(duration delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, m_count++, std::move(run)});
    }

    /** Runs all events within the next time span, and the function after each event. */
    void advance(
        duration span, const std::function<void()> &afterEach = [] {})
    {
        const time_point end = m_now + span;
        while (!m_events.empty() && m_events.top().at <= end) {
            event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
            afterEach();
        }
        m_now = end;
    }

private:
    time_point m_now{std::chrono::hours{1}};
    std::uint64_t m_count{0};
    std::priority_queue<event> m_events{};
};

} // namespace azurelb
