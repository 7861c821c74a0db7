#pragma once

#include <azurelb/catalogue/fwd.hpp>
#include <azurelb/jobs/resources.hpp>

#include <string>
#include <unordered_map>

namespace azurelb {

/** What each team has running over all executors. */
class team_usage
{
public:
    void add(const std::string &team, const resources &amount);
    void remove(const std::string &team, const resources &amount);

    [[nodiscard]] resources of(const std::string &team) const;

    /** Whether the team's limit leaves room for the request. A team without an entry has none. */
    [[nodiscard]] bool admits(const team_entry *team, const resources &request) const;

private:
    std::unordered_map<std::string, resources> m_running{};
};

} // namespace azurelb
