#include "fleet_setup.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace {

using namespace azurelb;
using namespace azurelb::testing;

/** Largest relative error of a team's share of the slot time since `marks`; updates them. */
[[nodiscard]] double shareError(simulated_fleet &fleet, std::vector<double> &marks)
{
    marks.resize(sixTeams.size());
    std::vector<double> used;
    double sum = 0;
    for (std::size_t team = 0; team < sixTeams.size(); ++team) {
        const double now = fleet.statistics(sixTeams[team].team).usedSeconds;
        used.push_back(now - marks[team]);
        sum += used.back();
        marks[team] = now;
    }
    double worst = 0;
    for (std::size_t team = 0; team < sixTeams.size(); ++team) {
        const double entitled = sum * sixTeams[team].share / 100;
        worst = std::max(worst, std::abs(used[team] - entitled) / entitled);
    }
    return worst;
}

struct share_errors
{
    double oneSecond{};
    double tenSeconds{};
    double useOfSlots{};
};

[[nodiscard]] share_errors measureShares(const fleet_options &options, const char *label)
{
    simulated_fleet fleet{options};
    addUnevenLoad(fleet, 0.5);
    fleet.advance(3s);
    fleet.resetPeaks();
    std::vector<double> marks;
    std::vector<double> longMarks;
    (void)shareError(fleet, marks);
    (void)shareError(fleet, longMarks);
    const double before = fleet.total().usedSeconds;
    share_errors errors;
    for (int second = 0; second < 10; ++second) {
        fleet.advance(1s);
        errors.oneSecond = std::max(errors.oneSecond, shareError(fleet, marks));
    }
    errors.tenSeconds = shareError(fleet, longMarks);
    errors.useOfSlots = (fleet.total().usedSeconds - before) / (10 * allSlots);
    std::printf("\n  %s: share error 1 s %.2f %%, 10 s %.2f %%, slots used %.1f %%, idle %.2f %%, "
                "most running %u, messages/s %.0f\n",
                label, 100 * errors.oneSecond, 100 * errors.tenSeconds, 100 * errors.useOfSlots,
                fleet.idleSeconds() / allSlots * 10, fleet.maxRunning(),
                static_cast<double>(fleet.messages()) / 13);
    CPPUNIT_ASSERT(fleet.maxRunning() <= options.slots);
    return errors;
}

/** Longest wait of requests after an idle second, in a burst at each daemon in turn. */
[[nodiscard]] duration waitAfterPause(const fleet_options &options, const char *label)
{
    simulated_fleet fleet{options};
    fleet.advance(2s);
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        for (int count = 0; count < 4; ++count)
            (void)fleet.sendRequest(daemon, team_name{"middle"}, 1000ms);
        fleet.advance(1s);
    }
    print(label,
          {{"wait p50 ms", toMilliseconds(fleet.wait(0.5))},
           {"longest ms", toMilliseconds(fleet.wait(1))}});
    return fleet.wait(1);
}

class share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(share_test);
    CPPUNIT_TEST(keepsShares);
    CPPUNIT_TEST(keepsSharesOfLongTailedRuns);
    CPPUNIT_TEST(keepsSharesOfLongTailedRunsOverOneSecond);
    CPPUNIT_TEST(comparesBaselines);
    CPPUNIT_TEST(givesUnusedPartsToOthers);
    CPPUNIT_TEST(addsNoRoundTripAtLowLoad);
    CPPUNIT_TEST(usesAllSlotsAtPeaks);
    CPPUNIT_TEST(refusesEarly);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsShares()
    {
        const share_errors errors = measureShares(defaultFleet(), "dispatched");
        CPPUNIT_ASSERT(errors.oneSecond <= 0.05);
        CPPUNIT_ASSERT(errors.tenSeconds <= 0.02);
        CPPUNIT_ASSERT(errors.useOfSlots >= 0.95 * meanRunSeconds / (meanRunSeconds + 0.003));
    }

    void keepsSharesOfLongTailedRuns()
    {
        fleet_options options = defaultFleet();
        options.isLongTailed = true;
        const share_errors errors = measureShares(options, "exponential run times");
        CPPUNIT_ASSERT(errors.tenSeconds <= 0.02);
    }

    void keepsSharesOfLongTailedRunsOverOneSecond()
    {
        fleet_options options = defaultFleet();
        options.isLongTailed = true;
        const share_errors errors = measureShares(options, "exponential run times");
        CPPUNIT_ASSERT(errors.oneSecond <= 0.05);
    }

    void comparesBaselines()
    {
        fleet_options options = defaultFleet();
        options.isStatic = true;
        (void)measureShares(options, "static split");
        options = defaultFleet();
        options.share.reusesSlots = false;
        (void)measureShares(options, "no reuse of slots");
        options = defaultFleet();
        options.share.correctsShares = false;
        (void)measureShares(options, "no correction");
    }

    void givesUnusedPartsToOthers()
    {
        simulated_fleet fleet{defaultFleet()};
        const double all = allSlots / meanRunSeconds;
        fleet.addLoad({team_name{"large-1"}, 0, 0.1 * all, 1000ms});
        for (const char *team : {"large-2", "middle"}) {
            for (std::size_t daemon = 0; daemon < 5; ++daemon)
                fleet.addLoad({team_name{team}, daemon, 0.2 * all, 1000ms});
        }
        fleet.advance(2s);
        const double large = fleet.statistics(team_name{"large-2"}).usedSeconds;
        const double middle = fleet.statistics(team_name{"middle"}).usedSeconds;
        const double before = fleet.total().usedSeconds;
        fleet.advance(10s);
        const double ratio = (fleet.statistics(team_name{"large-2"}).usedSeconds - large)
            / (fleet.statistics(team_name{"middle"}).usedSeconds - middle);
        const double used = utilisation(fleet, before, allSlots, 10);
        print("unused parts", {{"ratio (2.5)", ratio}, {"used", used}});
        CPPUNIT_ASSERT(std::abs(ratio - 2.5) <= 2.5 * 0.02);
        CPPUNIT_ASSERT(used >= 0.95);
    }

    void addsNoRoundTripAtLowLoad()
    {
        CPPUNIT_ASSERT(waitAfterPause(defaultFleet(), "low load") < 1ms);
        fleet_options options = defaultFleet();
        options.share.spreadsIdleSlots = false;
        CPPUNIT_ASSERT(waitAfterPause(options, "low load, idle slots not spread") > 3ms);
    }

    /** Each team in turn sends five times its mean load, the others a twentieth of theirs. */
    void usesAllSlotsAtPeaks()
    {
        fleet_options options = defaultFleet();
        simulated_fleet fleet{options};
        fleet.advance(500ms);
        const double mean = 0.4 * allSlots / meanRunSeconds;
        std::vector<std::size_t> loads;
        for (const team_share &each : sixTeams) {
            for (std::size_t daemon = 0; daemon < 3; ++daemon)
                loads.push_back(fleet.addLoad({each.team, daemon, 0, 2000ms}));
        }
        double used = 0;
        double worstSecond = 1;
        for (std::size_t peak = 0; peak < sixTeams.size(); ++peak) {
            for (std::size_t load = 0; load < loads.size(); ++load)
                fleet.setRate(loads[load], (load / 3 == peak ? 5 : 0.05) * mean / 3);
            fleet.advance(100ms);
            for (int second = 0; second < 4; ++second) {
                const double before = fleet.total().usedSeconds;
                fleet.advance(1s);
                const double part = utilisation(fleet, before, allSlots, 1);
                used += part / 24;
                worstSecond = std::min(worstSecond, part);
            }
        }
        print(
            "peak",
            {{"slots used", used}, {"worst second", worstSecond}, {"idle s", fleet.idleSeconds()}});
        CPPUNIT_ASSERT(worstSecond >= 0.95);
        CPPUNIT_ASSERT(fleet.maxRunning() <= 8);
    }

    /** Requests that cannot be served are refused on arrival, not at their deadline. */
    void refusesEarly()
    {
        simulated_fleet fleet{defaultFleet()};
        addUnevenLoad(fleet, 0.5);
        fleet.advance(5s);
        const double late = toMilliseconds(fleet.wait(1));
        const team_statistics sum = fleet.total();
        print("early refusal",
              {{"longest wait ms", late},
               {"refused", static_cast<double>(sum.refused)},
               {"at once", static_cast<double>(sum.refusedAtOnce)}});
        CPPUNIT_ASSERT(sum.refused > 1000);
        CPPUNIT_ASSERT(sum.refusedAtOnce * 10 >= sum.refused * 8);
        CPPUNIT_ASSERT(late <= 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_test);

} // namespace
