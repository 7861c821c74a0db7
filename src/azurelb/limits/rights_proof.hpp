#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

#include <cstdint>
#include <set>

namespace azurelb {

/**
 * Whether this daemon has proved, since its last start, pause or cut, that nobody holds it for
 * gone. Until then it neither uses nor gives rights, because they may have been reclaimed.
 */
class rights_proof
{
public:
    [[nodiscard]] bool isValid() const noexcept { return m_valid; }

    /** Number that peers return to show that they answer a message of this time. */
    [[nodiscard]] std::uint64_t nonce() const noexcept { return m_nonce; }

    /** Asks for a new proof. */
    void invalidate()
    {
        m_valid = false;
        ++m_nonce;
        m_echoes.clear();
    }

    /** Notes that the store itself lists this daemon. */
    void prove() noexcept { m_valid = true; }

    /**
     * Notes a peer's answer. One proved peer is enough, or so many unproved ones that they are a
     * majority of the registered daemons together with this one.
     */
    void hear(const member &peer, std::uint64_t echo, bool peerIsProved, std::size_t registered)
    {
        if (echo != m_nonce)
            return;
        m_echoes.insert(peer);
        const bool majority = registered > 0 && 2 * (m_echoes.size() + 1) > registered;
        m_valid = m_valid || peerIsProved || majority;
    }

private:
    std::uint64_t m_nonce{1};
    bool m_valid{false};
    std::set<member> m_echoes{};
};

} // namespace azurelb
