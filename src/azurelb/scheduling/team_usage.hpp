#pragma once

#include <azurelb/catalogue/fwd.hpp>
#include <azurelb/jobs/resources.hpp>

#include <string>
#include <unordered_map>

namespace azurelb {

/** Resources that the running tasks of each team use over all executors. */
class team_usage
{
public:
    void add(const std::string &team, const resources &amount);
    void remove(const std::string &team, const resources &amount);

    [[nodiscard]] resources of(const std::string &team) const;

    /** Returns whether the team's limit allows the request. Null stands for a team without a
        limit. */
    [[nodiscard]] bool admits(const team_entry *team, const resources &request) const;

private:
    std::unordered_map<std::string, resources> m_running{};
};

} // namespace azurelb
