#pragma once

#include <azurelb/limits/limit_service.hpp>

#include <map>
#include <stdexcept>

namespace azurelb::testing {

/** Limit service of one daemon with a fixed number of rights for each team that has a bound. */
class mock_limits final : public limit_service
{
public:
    void start(kernel &) override { }
    void stop() noexcept override { }

    [[nodiscard]] bool acquire(const team_name &team) override
    {
        const auto bound = m_bounds.find(team);
        if (bound != m_bounds.end() && m_taken[team] >= bound->second)
            return false;
        ++m_taken[team];
        return true;
    }

    void release(const team_name &team) override
    {
        if (m_taken[team] == 0)
            throw std::logic_error("right released twice");
        --m_taken[team];
        if (m_available)
            m_available(team);
    }

    void setDemand(const team_name &team, std::uint32_t waiting) override
    {
        m_demand[team] = waiting;
    }

    void subscribe(handler available) override { m_available = std::move(available); }

    void setBound(const team_name &team, std::uint32_t rights) { m_bounds[team] = rights; }

    [[nodiscard]] std::uint32_t taken(const team_name &team) { return m_taken[team]; }

    [[nodiscard]] std::uint32_t demand(const team_name &team) { return m_demand[team]; }

private:
    handler m_available{};
    std::map<team_name, std::uint32_t> m_bounds{};
    std::map<team_name, std::uint32_t> m_taken{};
    std::map<team_name, std::uint32_t> m_demand{};
};

} // namespace azurelb::testing
