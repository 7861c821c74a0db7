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
class rights_proof
{
public:
    explicit rights_proof(duration age)
        : m_age{age}
    { }

    [[nodiscard]] bool isValid(time_point now) const noexcept
    {
        return m_provenAt && now - *m_provenAt < m_age;
    }

    /** Number that peers return with their answer; 0 if no answer is needed now. */
    [[nodiscard]] std::uint64_t nonce() const noexcept { return m_asking ? m_nonce : 0; }

    /** True if there is no proof, or a question has had no answer for so long. */
    [[nodiscard]] bool isUnanswered(time_point now, duration time) const noexcept
    {
        return m_asking && (!isValid(now) || now - m_askedAt >= time);
    }

    /** Asks for a new proof in time before the last one expires. */
    void update(time_point now)
    {
        const time_point last = m_asking ? m_askedAt : m_provenAt.value_or(time_point{});
        if (now - last >= m_age / 2)
            ask(now);
    }

    /** Notes a read of the store, begun at that time, that lists this daemon. */
    void prove(time_point begun)
    {
        m_provenAt = std::max(begun, m_provenAt.value_or(begun));
        m_asking = m_asking && begun < m_askedAt;
    }

    /**
     * Notes the answer of a peer that the rights document lists. One proved peer is enough, or so
     * many unproved ones that they and this daemon are a majority of those listed.
     */
    void hear(const member &peer, std::uint64_t echo, bool isPeerProved, std::size_t listed)
    {
        if (!m_asking || echo != m_nonce)
            return;
        m_echoes.insert(peer);
        if (isPeerProved || 2 * (m_echoes.size() + 1) > listed)
            prove(m_askedAt);
    }

private:
    void ask(time_point now)
    {
        ++m_nonce;
        m_askedAt = now;
        m_asking = true;
        m_echoes.clear();
    }

    duration m_age;
    std::uint64_t m_nonce{0};
    bool m_asking{false};
    time_point m_askedAt{};
    std::optional<time_point> m_provenAt{};
    std::set<member> m_echoes{};
};

} // namespace azurelb
