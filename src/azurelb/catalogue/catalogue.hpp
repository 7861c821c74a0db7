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

/** One version of the operators' configuration: queues, pools and teams. */
struct catalogue
{
    std::int64_t version{0};
    std::vector<queue_entry> queues{};
    std::vector<pool_entry> pools{};
    std::vector<team_entry> teams{};
    /** Maximum size of a request body, in bytes. */
    std::uint64_t maxBodyBytes{1U << 20U};
};

/** Returns the queue of the host with the longest prefix of the path; null if there is none. */
[[nodiscard]] const queue_entry *findQueue(const catalogue &in, std::string_view host,
                                           std::string_view path) noexcept;

/** These return null if no entry has the name. */
[[nodiscard]] const queue_entry *findQueue(const catalogue &in, std::string_view name) noexcept;

[[nodiscard]] const pool_entry *findPool(const catalogue &in, std::string_view name) noexcept;

[[nodiscard]] const team_entry *findTeam(const catalogue &in, std::string_view name) noexcept;

/** Returns the team that the key belongs to; null if there is none. */
[[nodiscard]] const team_entry *findTeamByKey(const catalogue &in, std::string_view key) noexcept;

} // namespace azurelb
