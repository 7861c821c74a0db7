#include <azurelb/config/change_failure.hpp>
#include <azurelb/config/internal/change_rules.hpp>
#include <azurelb/config/internal/entity_list.hpp>

#include <boost/leaf/error.hpp>

#include <set>

namespace azurelb::internal {

namespace {

constexpr std::size_t maxNameLength{63};
constexpr std::size_t maxPlatformNameLength{128};
constexpr std::size_t digestBytes{32};
constexpr std::uint64_t maxVms{10'000};
constexpr std::uint64_t maxShare{10'000};
constexpr std::uint64_t maxLimit{100'000};
constexpr std::uint64_t maxWaitMs{3'600'000};
constexpr std::uint64_t maxPercentile{99};
constexpr std::uint64_t maxPreferenceWeight{10};

constexpr std::string_view lowerCase{"abcdefghijklmnopqrstuvwxyz"};
constexpr std::string_view upperCase{"ABCDEFGHIJKLMNOPQRSTUVWXYZ"};
constexpr std::string_view digits{"0123456789"};

bool consistsOf(std::string_view text, std::string_view characters) noexcept
{
    return text.find_first_not_of(characters) == std::string_view::npos;
}

check_result checkLength(std::string_view field, std::string_view value, std::size_t most)
{
    constexpr std::size_t shownCharacters{80};
    return require(!value.empty() && value.size() <= most, field, value.substr(0, shownCharacters),
                   "1 to " + std::to_string(most) + " characters");
}

check_result checkNoQueue(const wire::config_document &document, const std::string &pool,
                          std::string_view allowed)
{
    for (const wire::queue &queue : document.queues())
        BOOST_LEAF_CHECK(require(queue.pool() != pool, "pool", pool,
                                 std::string{allowed} + "; queue " + queue.name() + " uses it"));
    return {};
}

} // namespace

check_result require(bool condition, std::string_view field, std::string_view value,
                     std::string_view allowed)
{
    if (condition)
        return {};
    std::string detail{field};
    detail += " is \"";
    detail += value;
    detail += "\"; allowed: ";
    detail += allowed;
    return boost::leaf::new_error(change_failure{change_error::invalid, std::move(detail), {}});
}

check_result checkName(std::string_view field, std::string_view name)
{
    static const std::string allowed = std::string{lowerCase} + std::string{digits} + "-";
    BOOST_LEAF_CHECK(checkLength(field, name, maxNameLength));
    return require(consistsOf(name, allowed), field, name, "a to z, 0 to 9 and -");
}

check_result checkPlatformName(std::string_view field, std::string_view name)
{
    static const std::string allowed =
        std::string{lowerCase} + std::string{upperCase} + std::string{digits} + "-_.:@";
    BOOST_LEAF_CHECK(checkLength(field, name, maxPlatformNameLength));
    return require(consistsOf(name, allowed), field, name, "letters, digits and - _ . : @");
}

check_result checkRange(std::string_view field, std::uint64_t value, std::uint64_t least,
                        std::uint64_t most)
{
    return require(value >= least && value <= most, field, std::to_string(value),
                   std::to_string(least) + " to " + std::to_string(most));
}

check_result check(const wire::config_document &document, const wire::pool &pool)
{
    BOOST_LEAF_CHECK(checkName("pool name", pool.name()));
    BOOST_LEAF_CHECK(checkRange("maximum_vms", pool.maximum_vms(), 1, maxVms));
    BOOST_LEAF_CHECK(checkRange("minimum_vms", pool.minimum_vms(), 0, pool.maximum_vms()));
    BOOST_LEAF_CHECK(
        checkRange("unavailable_vms", pool.unavailable_vms(), 0, pool.maximum_vms() - 1));
    if (pool.spare())
        return checkNoQueue(document, pool.name(), "a spare pool that serves no queue");
    return {};
}

check_result check(const wire::config_document &document, const wire::queue &queue)
{
    BOOST_LEAF_CHECK(checkName("queue name", queue.name()));
    const auto pool = findEntity(document.pools(), queue.pool());
    BOOST_LEAF_CHECK(
        require(pool != document.pools().end(), "pool", queue.pool(), "an existing pool"));
    BOOST_LEAF_CHECK(require(!pool->spare(), "pool", queue.pool(), "a pool that is not spare"));
    if (!queue.has_target())
        return {};
    BOOST_LEAF_CHECK(checkRange("wait_ms", queue.target().wait_ms(), 1, maxWaitMs));
    return checkRange("percentile", queue.target().percentile(), 1, maxPercentile);
}

check_result check(const wire::config_document &, const wire::team &team)
{
    BOOST_LEAF_CHECK(checkName("team name", team.name()));
    BOOST_LEAF_CHECK(checkRange("share", team.share(), 1, maxShare));
    return checkRange("limit", team.limit(), 1, maxLimit);
}

check_result check(const wire::config_document &document, const wire::team_key &key)
{
    BOOST_LEAF_CHECK(checkName("key id", key.id()));
    BOOST_LEAF_CHECK(
        require(contains(document.teams(), key.team()), "team", key.team(), "an existing team"));
    BOOST_LEAF_CHECK(require(key.digest().size() == digestBytes, "digest",
                             std::to_string(key.digest().size()) + " bytes", "32 bytes"));
    for (const wire::team_key &other : document.keys())
        BOOST_LEAF_CHECK(require(other.digest() != key.digest(), "digest", "that of another key",
                                 "a secret that no other key has"));
    return {};
}

check_result check(const wire::config_document &document, const wire::wave &wave)
{
    BOOST_LEAF_CHECK(checkName("wave id", wave.id()));
    BOOST_LEAF_CHECK(require(wave.pools_size() > 0, "pools", "", "one pool or more"));
    std::set<std::string> seen;
    for (const std::string &pool : wave.pools()) {
        BOOST_LEAF_CHECK(
            require(contains(document.pools(), pool), "pools", pool, "existing pools"));
        BOOST_LEAF_CHECK(require(seen.insert(pool).second, "pools", pool, "each pool once"));
    }
    return require(!wave.stopped(), "stopped", "true", "false for a wave that starts");
}

check_result check(const wire::config_document &document, const wire::move_order &order)
{
    BOOST_LEAF_CHECK(checkPlatformName("vm", order.vm()));
    return require(contains(document.pools(), order.pool()), "pool", order.pool(),
                   "an existing pool");
}

check_result check(const wire::config_document &, const wire::preference &preference)
{
    BOOST_LEAF_CHECK(checkRange("share", preference.share(), 0, maxPreferenceWeight));
    BOOST_LEAF_CHECK(checkRange("outage_work", preference.outage_work(), 0, maxPreferenceWeight));
    BOOST_LEAF_CHECK(checkRange("buffer_cost", preference.buffer_cost(), 0, maxPreferenceWeight));
    return checkRange("moves", preference.moves(), 0, maxPreferenceWeight);
}

check_result checkUnusedPool(const wire::config_document &document, const std::string &name)
{
    BOOST_LEAF_CHECK(checkNoQueue(document, name, "a pool that is not in use"));
    for (const wire::wave &wave : document.waves()) {
        const auto &pools = wave.pools();
        const bool uses =
            !wave.stopped() && std::find(pools.begin(), pools.end(), name) != pools.end();
        BOOST_LEAF_CHECK(require(!uses, "pool", name,
                                 "a pool that is not in use; wave " + wave.id() + " names it"));
    }
    for (const wire::move_order &order : document.moves())
        BOOST_LEAF_CHECK(
            require(order.pool() != name, "pool", name,
                    "a pool that is not in use; VM " + order.vm() + " was ordered there"));
    return {};
}

check_result checkUnusedTeam(const wire::config_document &document, const std::string &name)
{
    for (const wire::team_key &key : document.keys())
        BOOST_LEAF_CHECK(require(key.team() != name, "team", name,
                                 "a team without keys; withdraw key " + key.id() + " first"));
    return {};
}

check_result checkCommonFields(const wire::change &change)
{
    BOOST_LEAF_CHECK(checkPlatformName("change id", change.id()));
    return checkPlatformName("operator", change.operator_name());
}

} // namespace azurelb::internal
