#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>

namespace azurelb {

/**
 * Whether nobody held this daemon for gone a short while ago. The daemon asks with a nonce, and an
 * answer counts from the moment of the question, so that late messages prove nothing new. Without
 * a proof the daemon neither uses nor gives rights, because they may be on their way to others.
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

    /** Number that peers return with their answer; 0 if no answer is needed now. */
    [[nodiscard]] std::uint64_t nonce() const noexcept { return m_isRoundOpen ? m_nonce : 0; }

    /** True if there is no proof, or a question has had no answer for so long. */
    [[nodiscard]] bool isUnanswered(time_point now, duration time) const noexcept
    {
        return m_isRoundOpen && (!isValid(now) || now - m_roundBegin >= time);
    }

    /** Asks for a new proof in time before the last one expires. */
    void update(time_point now)
    {
        const time_point last = m_isRoundOpen ? m_roundBegin : m_provenAt.value_or(time_point{});
        if (now - last >= m_age / 2)
            startRound(now);
    }

    /** Notes a read of the store, begun at that time, that lists this daemon. */
    void renew(time_point begun)
    {
        m_provenAt = std::max(begun, m_provenAt.value_or(begun));
        m_isRoundOpen = m_isRoundOpen && begun < m_roundBegin;
    }

    /**
     * Notes the answer of a peer that the rights document lists. One proved peer is enough, or so
     * many unproved ones that they and this daemon are a majority of those listed.
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
