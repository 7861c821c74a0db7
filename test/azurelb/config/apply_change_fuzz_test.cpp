#include "change_samples.hpp"

#include <azurelb/config/apply_change.hpp>
#include <azurelb/config/change_failure.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <set>

namespace {

using namespace azurelb;
namespace leaf = boost::leaf;

/** Random parameters from which a change is generated. */
struct change_parameters
{
    unsigned verb{};
    unsigned name{};
    unsigned other{};
    unsigned value{};
};

std::ostream &operator<<(std::ostream &out, const change_parameters &each)
{
    return out << each.verb << '(' << each.name << ',' << each.other << ',' << each.value << ')';
}

std::string nameOf(unsigned number)
{
    return "n" + std::to_string(number % 4);
}

using builder = wire::change (*)(const change_parameters &);

wire::change withText(void (wire::change::*set)(const std::string &), const std::string &text)
{
    wire::change change = sampleChange("c");
    (change.*set)(text);
    return change;
}

const std::array<builder, 12> builders{
    [](const change_parameters &n) { return poolChange("c", nameOf(n.name), n.value % 3 == 0); },
    [](const change_parameters &n) { return queueChange("c", nameOf(n.name), nameOf(n.other)); },
    [](const change_parameters &n) { return teamChange("c", nameOf(n.name), n.value); },
    [](const change_parameters &n) {
        return keyChange("c", nameOf(n.name), nameOf(n.other), static_cast<char>('a' + n.value));
    },
    [](const change_parameters &n) { return zoneChange("c", nameOf(n.name), n.value % 2 == 0); },
    [](const change_parameters &n) {
        return withText(&wire::change::set_remove_pool<const std::string &>, nameOf(n.name));
    },
    [](const change_parameters &n) {
        return withText(&wire::change::set_remove_queue<const std::string &>, nameOf(n.name));
    },
    [](const change_parameters &n) {
        return withText(&wire::change::set_remove_team<const std::string &>, nameOf(n.name));
    },
    [](const change_parameters &n) {
        return withText(&wire::change::set_withdraw_key<const std::string &>, nameOf(n.name));
    },
    [](const change_parameters &n) {
        return withText(&wire::change::set_stop_wave<const std::string &>, nameOf(n.name));
    },
    [](const change_parameters &n) {
        wire::change change = sampleChange("c");
        change.mutable_start_wave()->set_id(nameOf(n.name));
        change.mutable_start_wave()->add_pools(nameOf(n.other));
        return change;
    },
    [](const change_parameters &n) {
        wire::change change = sampleChange("c");
        change.mutable_order_move()->set_vm(nameOf(n.name));
        change.mutable_order_move()->set_pool(nameOf(n.other));
        return change;
    },
};

template <typename List, typename Name>
std::set<std::string> uniqueNames(const List &list, Name name)
{
    std::set<std::string> names;
    for (const auto &each : list)
        RC_ASSERT(names.insert((each.*name)()).second);
    return names;
}

/** Checks the invariants that hold in every document: unique names and valid references. */
void checkDocument(const wire::config_document &document)
{
    const auto pools = uniqueNames(document.pools(), &wire::pool::name);
    const auto teams = uniqueNames(document.teams(), &wire::team::name);
    uniqueNames(document.queues(), &wire::queue::name);
    uniqueNames(document.keys(), &wire::team_key::id);
    uniqueNames(document.keys(), &wire::team_key::digest);
    uniqueNames(document.zones(), &wire::availability_zone::name);
    std::set<std::string> spare;
    for (const wire::pool &pool : document.pools()) {
        if (pool.spare())
            spare.insert(pool.name());
    }
    for (const wire::queue &queue : document.queues())
        RC_ASSERT(pools.contains(queue.pool()) && !spare.contains(queue.pool()));
    for (const wire::team_key &key : document.keys())
        RC_ASSERT(teams.contains(key.team()));
    for (const wire::move_order &order : document.moves())
        RC_ASSERT(pools.contains(order.pool()));
}

/** Applies the change if it is valid; returns true if it was applied. */
bool apply(wire::config_document &document, const wire::change &change)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(applied, applyChange(document, change));
            RC_ASSERT(applied.document.generation() == document.generation() + 1);
            RC_ASSERT(applied.record.generation() == applied.document.generation());
            RC_ASSERT(applied.record.before() != applied.record.after());
            document = applied.document;
            return true;
        },
        [](const change_failure &fault) {
            RC_ASSERT(!fault.detail.empty());
            return false;
        },
        [] { return false; });
}

class apply_change_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(apply_change_fuzz_test);
    CPPUNIT_TEST(documentStaysConsistent);
    CPPUNIT_TEST_SUITE_END();

public:
    void documentStaysConsistent()
    {
        const auto numbers = rc::gen::build<change_parameters>(
            rc::gen::set(&change_parameters::verb, rc::gen::inRange(0U, 12U)),
            rc::gen::set(&change_parameters::name, rc::gen::inRange(0U, 4U)),
            rc::gen::set(&change_parameters::other, rc::gen::inRange(0U, 4U)),
            rc::gen::set(&change_parameters::value, rc::gen::inRange(0U, 6U)));
        const auto histories =
            rc::gen::scale(10, rc::gen::container<std::vector<change_parameters>>(numbers));
        std::size_t applied = 0;
        CPPUNIT_ASSERT(rc::check("references hold and names are unique", [&] {
            wire::config_document document;
            for (const change_parameters &each : *histories) {
                applied += apply(document, builders[each.verb](each)) ? 1 : 0;
                checkDocument(document);
            }
        }));
        std::cerr << applied << " changes applied\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(apply_change_fuzz_test);

} // namespace
