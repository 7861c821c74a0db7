#pragma once

#include <azurelb/catalogue/fwd.hpp>
#include <azurelb/catalogue/pool_entry.hpp>
#include <azurelb/catalogue/queue_entry.hpp>
#include <azurelb/catalogue/team_entry.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurelb {

/** One version of the operators' configuration. */
struct catalogue
{
    std::int64_t version{0};
    std::vector<queue_entry> queues{};
    std::vector<pool_entry> pools{};
    std::vector<team_entry> teams{};
    /** Largest request body, in bytes. */
    std::uint64_t maxBodyBytes{1U << 20U};
};

/** The queue whose host matches and whose prefix is the longest that the path begins with. */
[[nodiscard]] const queue_entry *findQueue(const catalogue &in, std::string_view host,
                                           std::string_view path) noexcept;

[[nodiscard]] const queue_entry *findQueue(const catalogue &in, std::string_view name) noexcept;

[[nodiscard]] const pool_entry *findPool(const catalogue &in, std::string_view name) noexcept;

[[nodiscard]] const team_entry *findTeam(const catalogue &in, std::string_view name) noexcept;

/** The team that holds the key; null if no team does. */
[[nodiscard]] const team_entry *findTeamByKey(const catalogue &in, std::string_view key) noexcept;

} // namespace azurelb
