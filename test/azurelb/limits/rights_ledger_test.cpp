#include "rights_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace azurelb::test {

namespace {

const team_name choir{"choir"};

class rights_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_ledger_test);
    CPPUNIT_TEST(mintsTheLimitOnce);
    CPPUNIT_TEST(movesToTheOnlyDemand);
    CPPUNIT_TEST(movesToTheOnlyDemandDespiteLoss);
    CPPUNIT_TEST_SUITE_END();

public:
    void mintsTheLimitOnce()
    {
        rights_fleet fleet{3};
        fleet.setLimit(choir, 12);
        fleet.advance(3s);
        CPPUNIT_ASSERT_EQUAL(right_count{12}, fleet.held(choir));
    }

    void movesToTheOnlyDemand() { checkGathering(0); }

    void movesToTheOnlyDemandDespiteLoss() { checkGathering(0.05); }

private:
    /** Use spread over all daemons moves to one; it must reach 95 % of the limit within 2 s. */
    static void checkGathering(double loss)
    {
        constexpr right_count limit{100};
        for (unsigned seed = 1; seed <= 20; ++seed) {
            rights_fleet fleet{9, {}, seed};
            fleet.network.loss = loss;
            fleet.setLimit(choir, limit);
            fleet.advance(3s);
            for (auto &daemon : fleet.daemons)
                fleet.setDemand(*daemon, choir, 11);
            for (int round = 0; round < 80; ++round) {
                for (auto &daemon : fleet.daemons)
                    while (daemon->running[choir] < 11 && fleet.acquire(*daemon, choir)) {
                    }
                fleet.advance(25ms);
            }
            CPPUNIT_ASSERT(fleet.running(choir) >= 95);
            for (auto &daemon : fleet.daemons) {
                fleet.setDemand(*daemon, choir, 0);
                while (daemon->running[choir] > 0)
                    fleet.release(*daemon, choir);
            }
            fake_daemon &only = *fleet.daemons[seed % 9];
            const time_point begun = fleet.now;
            while (only.running[choir] < 95 && fleet.now - begun < 4s) {
                fleet.setDemand(only, choir, limit - only.running[choir]);
                while (fleet.acquire(only, choir)) {
                }
                fleet.advance(25ms);
            }
            std::cerr << " " << std::chrono::duration<double>(fleet.now - begun).count();
            CPPUNIT_ASSERT(fleet.now - begun <= 2s);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_ledger_test);

} // namespace

} // namespace azurelb::test
