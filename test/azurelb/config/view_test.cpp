#include <azurelb/config/config_view.hpp>
#include <azurelb/config/fleet_view.hpp>
#include <azurelb/config/secret_digest.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;

wire::config_document exampleDocument()
{
    wire::config_document document;
    document.add_pools()->set_name("loft");
    document.add_queues()->set_name("plans");
    document.add_teams()->set_name("choir");
    auto *key = document.add_keys();
    key->set_id("k1");
    key->set_team("choir");
    key->set_digest(secretDigest("s3cret"));
    auto *zone = document.add_zones();
    zone->set_name("verona");
    zone->set_out(true);
    document.add_zones()->set_name("trento");
    return document;
}

class view_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(view_test);
    CPPUNIT_TEST(digestIsSha256);
    CPPUNIT_TEST(findsEntitiesByName);
    CPPUNIT_TEST(authenticatesByDigest);
    CPPUNIT_TEST(reportsZonesOut);
    CPPUNIT_TEST(findsVms);
    CPPUNIT_TEST_SUITE_END();

public:
    void digestIsSha256()
    {
        // FIPS 180-4 example: SHA-256 of "abc" begins with ba7816bf.
        CPPUNIT_ASSERT(secretDigest("abc").substr(0, 4) == "\xba\x78\x16\xbf");
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, secretDigest("").size());
    }

    void findsEntitiesByName()
    {
        CPPUNIT_ASSERT(m_view.findPool(pool_name{"loft"}));
        CPPUNIT_ASSERT(m_view.findQueue(queue_name{"plans"}));
        CPPUNIT_ASSERT(m_view.findTeam(team_name{"choir"}));
        CPPUNIT_ASSERT(!m_view.findTeam(team_name{"other"}));
        CPPUNIT_ASSERT(!config_view{}.findPool(pool_name{"loft"}));
    }

    void authenticatesByDigest()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"choir"}, m_view.authenticate("s3cret")->name());
        CPPUNIT_ASSERT(!m_view.authenticate("s3cre"));
        CPPUNIT_ASSERT(!m_view.authenticate(""));
        CPPUNIT_ASSERT(!m_view.authenticate(secretDigest("s3cret")));
    }

    void reportsZonesOut()
    {
        CPPUNIT_ASSERT(m_view.isZoneOut(zone_name{"verona"}));
        CPPUNIT_ASSERT(!m_view.isZoneOut(zone_name{"trento"}));
        CPPUNIT_ASSERT(!m_view.isZoneOut(zone_name{"milano"}));
    }

    void findsVms()
    {
        wire::fleet_document document;
        document.add_vms()->set_id("vm-1");
        const fleet_view view{document, revision{3}};
        CPPUNIT_ASSERT(view.find(vm_id{"vm-1"}));
        CPPUNIT_ASSERT(!view.find(vm_id{"vm-2"}));
    }

private:
    const config_view m_view{exampleDocument(), revision{7}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(view_test);

} // namespace
