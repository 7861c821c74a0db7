#include <azurelb/config/config_view.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/operations/zone_check.hpp>
#include <azurelb/wire/platform.pb.h>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;

/** One pool of four VMs, two in each of two zones, of which `budget` may be unavailable. */
wire::config_document sampleConfig(std::uint32_t budget)
{
    wire::config_document config;
    wire::pool &pool = *config.add_pools();
    pool.set_name("loft");
    pool.set_minimum_vms(4 - budget);
    pool.set_maximum_vms(4);
    pool.set_unavailable_vms(budget);
    return config;
}

class zone_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_check_test);
    CPPUNIT_TEST(allowsZoneOutWithinTheBudget);
    CPPUNIT_TEST(refusesZoneOutBeyondTheBudget);
    CPPUNIT_TEST(reportsBrokenBudgetsOfAForcedChange);
    CPPUNIT_TEST(refusesUnknownZone);
    CPPUNIT_TEST(allowsOtherChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int index = 0; index < 4; ++index) {
            const std::string id = "vm-" + std::to_string(index);
            const std::string zone = index % 2 == 0 ? "milano" : "trento";
            wire::fleet_vm &placed = *m_fleet.add_vms();
            placed.set_id(id);
            placed.set_pool("loft");
            placed.set_zone(zone);
            wire::listed_vm &listed = *m_list.add_vms();
            listed.set_id(id);
            listed.set_zone(zone);
        }
    }

    void allowsZoneOutWithinTheBudget()
    {
        CPPUNIT_ASSERT(check(2, "milano", false).error == change_error::none);
    }

    void refusesZoneOutBeyondTheBudget()
    {
        const zone_check refused = check(1, "milano", false);
        CPPUNIT_ASSERT(refused.error == change_error::budget);
        CPPUNIT_ASSERT(refused.detail.find("loft") != std::string::npos);
    }

    void reportsBrokenBudgetsOfAForcedChange()
    {
        const zone_check forced = check(1, "milano", true);
        CPPUNIT_ASSERT(forced.error == change_error::none);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forced.costs.size());
    }

    void refusesUnknownZone()
    {
        CPPUNIT_ASSERT(check(2, "milan", false).error == change_error::invalid);
        CPPUNIT_ASSERT(check(2, "milan", true).error == change_error::invalid);
    }

    void allowsOtherChanges()
    {
        wire::change change;
        change.set_zone_in("nowhere");
        const config_view config{sampleConfig(1), revision{1}};
        const fleet_view fleet{m_fleet, revision{1}};
        CPPUNIT_ASSERT(checkZoneChange(change, config, fleet, nullptr).error == change_error::none);
    }

private:
    [[nodiscard]] zone_check check(std::uint32_t budget, const std::string &zone, bool force) const
    {
        wire::change change;
        change.set_zone_out(zone);
        change.set_force(force);
        const config_view config{sampleConfig(budget), revision{1}};
        const fleet_view fleet{m_fleet, revision{1}};
        return checkZoneChange(change, config, fleet, &m_list);
    }

    wire::fleet_document m_fleet{};
    wire::vm_list m_list{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_check_test);

} // namespace
