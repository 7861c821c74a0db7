#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/identifier.hpp>
#include <azurelb/wire/config.pb.h>

#include <string_view>
#include <unordered_map>

namespace azurelb {

/**
 * Immutable snapshot of the operators' configuration at one revision, indexed for the request path.
 * Returned pointers are valid as long as the view.
 */
class config_view
{
public:
    /** The empty configuration, at revision 0. */
    config_view() = default;

    config_view(wire::config_document document, revision at);

    config_view(const config_view &) = delete;
    config_view &operator=(const config_view &) = delete;

    [[nodiscard]] const wire::config_document &document() const noexcept { return m_document; }

    [[nodiscard]] revision storeRevision() const noexcept { return m_storeRevision; }

    /** Returns null if there is no entity of that name. */
    [[nodiscard]] const wire::queue *findQueue(const queue_name &name) const noexcept;
    [[nodiscard]] const wire::pool *findPool(const pool_name &name) const noexcept;
    [[nodiscard]] const wire::team *findTeam(const team_name &name) const noexcept;

    /**
     * Returns the team that a secret belongs to, or null. Digests are compared in constant time, so
     * that the timing reveals nothing about the stored digests.
     */
    [[nodiscard]] const wire::team *authenticate(std::string_view secret) const;

    /** True if the configuration has a key with that digest, as returned by secretDigest(). */
    [[nodiscard]] bool hasKey(std::string_view digest) const noexcept;

    /** True if operators have taken the zone out of service. */
    [[nodiscard]] bool isZoneOut(const zone_name &zone) const noexcept;

private:
    wire::config_document m_document{};
    revision m_storeRevision{};
    std::unordered_map<queue_name, const wire::queue *> m_queues{};
    std::unordered_map<pool_name, const wire::pool *> m_pools{};
    std::unordered_map<team_name, const wire::team *> m_teams{};
};

} // namespace azurelb
