#include <azurelb/catalogue/catalogue.hpp>

#include <algorithm>

namespace azurelb {

namespace {

template <typename Entry>
const Entry *findByName(const std::vector<Entry> &entries, std::string_view name) noexcept
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [name](const Entry &each) { return each.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

const queue_entry *findQueue(const catalogue &in, std::string_view host,
                             std::string_view path) noexcept
{
    const queue_entry *best = nullptr;
    for (const queue_entry &each : in.queues) {
        if (each.host == host && path.starts_with(each.pathPrefix)
            && (!best || each.pathPrefix.size() > best->pathPrefix.size()))
            best = &each;
    }
    return best;
}

const queue_entry *findQueue(const catalogue &in, std::string_view name) noexcept
{
    return findByName(in.queues, name);
}

const pool_entry *findPool(const catalogue &in, std::string_view name) noexcept
{
    return findByName(in.pools, name);
}

const team_entry *findTeam(const catalogue &in, std::string_view name) noexcept
{
    return findByName(in.teams, name);
}

const team_entry *findTeamByKey(const catalogue &in, std::string_view key) noexcept
{
    const auto holds = [key](const team_entry &team) {
        return std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end();
    };
    const auto found = std::find_if(in.teams.begin(), in.teams.end(), holds);
    return found == in.teams.end() ? nullptr : &*found;
}

} // namespace azurelb
