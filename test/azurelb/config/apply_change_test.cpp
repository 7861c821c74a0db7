#include <azurelb/config/apply_change.hpp>
#include <azurelb/config/change_failure.hpp>

#include "change_samples.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/leaf/handle_errors.hpp>

#include <functional>
#include <optional>

namespace {

using namespace azurelb;
namespace leaf = boost::leaf;

/** Result of applyChange(): the applied change, or the error. */
struct evaluation
{
    std::optional<applied_change> applied{};
    change_failure fault{change_error::none, {}};
};

evaluation evaluate(const wire::config_document &document, const wire::change &change)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<evaluation> {
            BOOST_LEAF_AUTO(applied, applyChange(document, change));
            return evaluation{std::move(applied)};
        },
        [](const change_failure &fault) {
            return evaluation{{}, fault};
        },
        [] {
            return evaluation{{}, {change_error::unknown, "no fault given"}};
        });
}

class apply_change_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(apply_change_test);
    CPPUNIT_TEST(countsGenerations);
    CPPUNIT_TEST(recordsBeforeAndAfter);
    CPPUNIT_TEST(refusesStaleGeneration);
    CPPUNIT_TEST(refusesWrongValues);
    CPPUNIT_TEST(refusesBrokenReferences);
    CPPUNIT_TEST(detailNamesFieldValueAndRule);
    CPPUNIT_TEST(withdrawsKeys);
    CPPUNIT_TEST(takesZonesOutAndIn);
    CPPUNIT_TEST(startsAndStopsWaves);
    CPPUNIT_TEST(resumesWaves);
    CPPUNIT_TEST(refusesOversizedDocument);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        applyChecked(poolChange("c1", "loft"));
        applyChecked(poolChange("c2", "reserve", true));
        applyChecked(teamChange("c3", "choir"));
        applyChecked(queueChange("c4", "plans", "loft"));
        applyChecked(keyChange("c5", "k1", "choir"));
    }

    void countsGenerations()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_document.generation());
        applyChecked(teamChange("c6", "choir", 20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, m_document.teams(0).generation());
        CPPUNIT_ASSERT_EQUAL(1, m_document.teams_size());
    }

    void recordsBeforeAndAfter()
    {
        const wire::audit_record record = applyChecked(teamChange("c6", "choir", 20));
        CPPUNIT_ASSERT_EQUAL(std::string{"put_team"}, record.verb());
        CPPUNIT_ASSERT_EQUAL(std::string{"team/choir"}, record.entity());
        CPPUNIT_ASSERT_EQUAL(std::string{"anna"}, record.operator_name());
        CPPUNIT_ASSERT(record.before().find("\"limit\":10") != std::string::npos);
        CPPUNIT_ASSERT(record.after().find("\"limit\":20") != std::string::npos);
        CPPUNIT_ASSERT(applyChecked(teamChange("c7", "new")).before().empty());
    }

    void refusesStaleGeneration()
    {
        wire::change change = teamChange("c6", "choir", 20);
        change.set_expected_generation(2);
        assertRefused(change, change_error::conflict);
        change.set_expected_generation(3);
        applyChecked(change);
        wire::change removal = sampleChange("c7");
        removal.set_remove_queue("plans");
        removal.set_expected_generation(9);
        assertRefused(removal, change_error::conflict);
    }

    void refusesWrongValues()
    {
        assertEachRefused({
            [](wire::change &c) { c = poolChange("c", "Loft"); },
            [](wire::change &c) { c = poolChange("c", std::string(64, 'a')); },
            [](wire::change &c) { c = poolChange("c", ""); },
            [](wire::change &c) { c.mutable_put_pool()->set_minimum_vms(5); },
            [](wire::change &c) { c.mutable_put_pool()->set_unavailable_vms(4); },
            [](wire::change &c) { c.mutable_put_pool()->set_maximum_vms(0); },
            [](wire::change &c) { c.set_id(""); },
            [](wire::change &c) { c.set_operator_name("a b"); },
            [](wire::change &c) { c.clear_verb(); },
            [](wire::change &c) { c = teamChange("c", "t", 0); },
            [](wire::change &c) { c = teamChange("c", "t", 100'001); },
            [](wire::change &c) { c = teamChange("c", "t"), c.mutable_put_team()->set_share(0); },
            [](wire::change &c) {
                c = teamChange("c", "t");
                c.mutable_put_team()->set_share(10'001);
            },
            [](wire::change &c) {
                c = queueChange("c", "q", "loft");
                c.mutable_put_queue()->mutable_target()->set_wait_ms(5);
            },
            [](wire::change &c) { c.mutable_set_preferences()->set_moves(11); },
            [](wire::change &c) { c = zoneChange("c", "Verona", true); },
            [](wire::change &c) { c.mutable_order_move()->set_vm("vm 1"); },
        });
    }

    void refusesBrokenReferences()
    {
        assertEachRefused({
            [](wire::change &c) { c = queueChange("c", "q", "none"); },
            [](wire::change &c) { c = queueChange("c", "q", "reserve"); },
            [](wire::change &c) { c = poolChange("c", "loft", true); },
            [](wire::change &c) { c = keyChange("c", "k2", "none", 'e'); },
            [](wire::change &c) { c = keyChange("c", "k1", "choir", 'e'); },
            [](wire::change &c) { c = keyChange("c", "k2", "choir"); },
            [](wire::change &c) { c.set_remove_pool("loft"); },
            [](wire::change &c) { c.set_remove_pool("none"); },
            [](wire::change &c) { c.set_remove_team("choir"); },
            [](wire::change &c) { c.set_withdraw_key("none"); },
            [](wire::change &c) { c.set_stop_wave("none"); },
            [](wire::change &c) { c.mutable_start_wave()->set_id("w"); },
            [](wire::change &c) { c = waveChange("none"); },
        });
    }

    void detailNamesFieldValueAndRule()
    {
        const change_failure fault = evaluate(m_document, teamChange("c", "t", 0)).fault;
        CPPUNIT_ASSERT_EQUAL(std::string{"limit is \"0\"; allowed: 1 to 100000"}, fault.detail);
    }

    void withdrawsKeys()
    {
        wire::change change = sampleChange("c6");
        change.set_withdraw_key("k1");
        const wire::audit_record record = applyChecked(change);
        CPPUNIT_ASSERT_EQUAL(0, m_document.keys_size());
        CPPUNIT_ASSERT(record.after().empty());
        CPPUNIT_ASSERT(!record.before().empty());
        applyChecked(keyChange("c7", "k1", "choir"));
    }

    void takesZonesOutAndIn()
    {
        applyChecked(zoneChange("c6", "verona", true));
        CPPUNIT_ASSERT(m_document.zones(0).out());
        applyChecked(zoneChange("c7", "verona", false));
        CPPUNIT_ASSERT(!m_document.zones(0).out());
        CPPUNIT_ASSERT_EQUAL(1, m_document.zones_size());
    }

    void startsAndStopsWaves()
    {
        applyChecked(waveChange("loft"));
        assertRefused(waveChange("loft"), change_error::invalid);
        wire::change stop = sampleChange("c7");
        stop.set_stop_wave("w1");
        applyChecked(stop);
        CPPUNIT_ASSERT(m_document.waves(0).stopped());
        assertRefused(stop, change_error::invalid);
    }

    void resumesWaves()
    {
        applyChecked(waveChange("loft"));
        const std::uint64_t started = m_document.waves(0).generation();
        wire::change resume = sampleChange("c7");
        resume.set_resume_wave("w1");
        applyChecked(resume);
        CPPUNIT_ASSERT(m_document.waves(0).generation() > started);
        resume.set_resume_wave("none");
        assertRefused(resume, change_error::invalid);
    }

    void refusesOversizedDocument()
    {
        wire::config_document full = m_document;
        full.mutable_keys(0)->set_digest(std::string(900'000, 'x'));
        CPPUNIT_ASSERT(evaluate(full, teamChange("c", "t")).fault.error == change_error::invalid);
    }

private:
    static wire::change waveChange(const std::string &pool)
    {
        wire::change change = sampleChange("wave");
        change.mutable_start_wave()->set_id("w1");
        change.mutable_start_wave()->add_pools(pool);
        return change;
    }

    wire::audit_record applyChecked(const wire::change &change)
    {
        const evaluation result = evaluate(m_document, change);
        CPPUNIT_ASSERT_MESSAGE(result.fault.detail, result.applied.has_value());
        m_document = result.applied->document;
        return result.applied->record;
    }

    void assertRefused(const wire::change &change, change_error error)
    {
        const evaluation result = evaluate(m_document, change);
        CPPUNIT_ASSERT_MESSAGE(change.ShortDebugString(), !result.applied);
        CPPUNIT_ASSERT_MESSAGE(result.fault.detail, result.fault.error == error);
        CPPUNIT_ASSERT(!result.fault.detail.empty());
    }

    void assertEachRefused(const std::vector<std::function<void(wire::change &)>> &faults)
    {
        for (const auto &fault : faults) {
            wire::change change = poolChange("c", "extra");
            fault(change);
            assertRefused(change, change_error::invalid);
        }
    }

    wire::config_document m_document;
};

CPPUNIT_TEST_SUITE_REGISTRATION(apply_change_test);

} // namespace
