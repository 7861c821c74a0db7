#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>

namespace azurelb {

/**
 * Time-limited proof that the fleet has not declared this daemon gone. The daemon sends a nonce
 * that peers echo, and the validity starts when the nonce was created, so that delayed echoes do
 * not extend it. Without a valid proof the daemon neither uses nor gives rights, because they may
 * already have been reclaimed for other daemons.
 */
class membership_proof
{
public:
    explicit membership_proof(duration age)
        : m_age{age}
    { }

    [[nodiscard]] bool isValid(time_point now) const noexcept
    {
        return m_provenAt && now - *m_provenAt < m_age;
    }

    /** Nonce for peers to echo; 0 if no proof is being requested. */
    [[nodiscard]] std::uint64_t nonce() const noexcept { return m_isRoundOpen ? m_nonce : 0; }

    /** True if a proof is requested, and there is none or the request is at least this old. */
    [[nodiscard]] bool isUnanswered(time_point now, duration time) const noexcept
    {
        return m_isRoundOpen && (!isValid(now) || now - m_roundBegin >= time);
    }

    /** Requests a new proof when half the validity of the last one has passed. */
    void update(time_point now)
    {
        const time_point last = m_isRoundOpen ? m_roundBegin : m_provenAt.value_or(time_point{});
        if (now - last >= m_age / 2)
            startRound(now);
    }

    /** Renews the proof from a time at which this daemon was known to be listed. */
    void renew(time_point begun)
    {
        m_provenAt = std::max(begun, m_provenAt.value_or(begun));
        m_isRoundOpen = m_isRoundOpen && begun < m_roundBegin;
    }

    /**
     * Adds the echo of a peer that the rights document lists. The proof is renewed by the echo of
     * one peer that has a proof itself, or by peers without one if they and this daemon are a
     * majority of the `listed` daemons.
     */
    void addEcho(const member &peer, std::uint64_t echo, bool isPeerProved, std::size_t listed)
    {
        if (!m_isRoundOpen || echo != m_nonce)
            return;
        m_echoes.insert(peer);
        if (isPeerProved || 2 * (m_echoes.size() + 1) > listed)
            renew(m_roundBegin);
    }

private:
    void startRound(time_point now)
    {
        ++m_nonce;
        m_roundBegin = now;
        m_isRoundOpen = true;
        m_echoes.clear();
    }

    duration m_age;
    std::uint64_t m_nonce{0};
    bool m_isRoundOpen{false};
    time_point m_roundBegin{};
    std::optional<time_point> m_provenAt{};
    std::set<member> m_echoes{};
};

} // namespace azurelb
