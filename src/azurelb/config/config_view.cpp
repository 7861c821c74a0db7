#include <azurelb/config/config_view.hpp>
#include <azurelb/config/secret_digest.hpp>

#include <openssl/crypto.h>

#include <algorithm>

namespace azurelb {

namespace {

template <typename Index, typename Entities>
void buildIndex(Index &index, const Entities &entities)
{
    index.reserve(static_cast<std::size_t>(entities.size()));
    for (const auto &entity : entities)
        index.emplace(typename Index::key_type{entity.name()}, &entity);
}

template <typename Index>
typename Index::mapped_type lookUp(const Index &index, const typename Index::key_type &name)
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : found->second;
}

bool equalDigests(const std::string &left, const std::string &right) noexcept
{
    const bool sameSize = left.size() == right.size();
    return sameSize && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

config_view::config_view(wire::config_document document, revision at)
    : m_document{std::move(document)}
    , m_storeRevision{at}
{
    buildIndex(m_queues, m_document.queues());
    buildIndex(m_pools, m_document.pools());
    buildIndex(m_teams, m_document.teams());
}

const wire::queue *config_view::findQueue(const queue_name &name) const noexcept
{
    return lookUp(m_queues, name);
}

const wire::pool *config_view::findPool(const pool_name &name) const noexcept
{
    return lookUp(m_pools, name);
}

const wire::team *config_view::findTeam(const team_name &name) const noexcept
{
    return lookUp(m_teams, name);
}

const wire::team *config_view::authenticate(std::string_view secret) const
{
    const std::string digest = secretDigest(secret);
    const wire::team_key *match = nullptr;
    for (const wire::team_key &key : m_document.keys()) {
        const bool equal = equalDigests(key.digest(), digest);
        match = equal ? &key : match;
    }
    return match ? findTeam(team_name{match->team()}) : nullptr;
}

bool config_view::hasKey(std::string_view digest) const noexcept
{
    const auto same = [digest](const wire::team_key &each) {
        return each.digest() == digest;
    };
    return std::any_of(m_document.keys().begin(), m_document.keys().end(), same);
}

bool config_view::isZoneOut(const zone_name &zone) const noexcept
{
    const auto &zones = m_document.zones();
    return std::any_of(zones.begin(), zones.end(), [&zone](const wire::availability_zone &each) {
        return each.out() && each.name() == zone.value();
    });
}

} // namespace azurelb
