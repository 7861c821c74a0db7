#include "simulated_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace azurelb::test {

namespace {

constexpr std::size_t teamCount{62};
constexpr right_count teamLimit{100};

/** Bytes per second sent by one daemon, including envelopes of 40 bytes, and store calls. */
struct control_cost
{
    double mean{};
    double most{};
    double storeCalls{};
};

class rights_cost_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_cost_test);
    CPPUNIT_TEST(controlTrafficStaysWithinTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void controlTrafficStaysWithinTheBudget()
    {
        for (const std::size_t size : {9U, 20U, 60U}) {
            check("idle", size, measure(size, 0, 0));
            check("steady", size, measure(size, 1, 0));
            check("moving", size, measure(size, 1, 6));
            check("saturated", size, measure(size, 10, 0));
        }
    }

private:
    /** Measures with load on all teams; the first `moving` teams change daemon every second. */
    control_cost measure(std::size_t size, right_count loaded, std::size_t moving)
    {
        simulated_fleet fleet{size};
        for (std::size_t index = 0; index < teamCount; ++index)
            fleet.setLimit(team(index), teamLimit);
        fleet.advance(3s);
        run(fleet, loaded, moving, 2s);
        for (const auto &daemon : fleet.daemons)
            daemon->bytesSent = 0;
        fleet.storeCalls = 0;
        constexpr duration time{3s};
        run(fleet, loaded, moving, time);
        return costOf(fleet, time);
    }

    static team_name team(std::size_t index) { return team_name{"team-" + std::to_string(index)}; }

    void run(simulated_fleet &fleet, right_count loaded, std::size_t moving, duration time)
    {
        const time_point begun = fleet.now;
        while (fleet.now - begun < time) {
            const auto second = static_cast<std::size_t>((fleet.now - begun) / 1s);
            for (std::size_t index = 0; index < teamCount; ++index) {
                const std::size_t place = second % fleet.daemons.size();
                for (std::size_t at = 0; at < fleet.daemons.size(); ++at) {
                    const bool moves = index < moving;
                    const right_count all = moves ? teamLimit * (place == at ? 1 : 0)
                                                  : spread(fleet.daemons.size(), index + at);
                    use(fleet, *fleet.daemons[at], team(index), loaded * all);
                }
            }
            ++m_round;
            fleet.advance(fleet.options.tickInterval);
        }
    }

    /** Per-daemon share of two fifths of the limit, plus 0 to 2 that vary over time. */
    [[nodiscard]] right_count spread(std::size_t size, std::size_t phase) const
    {
        const auto noise = static_cast<right_count>((m_round / 8 + phase) % 3);
        return 2 * teamLimit / 5 / static_cast<right_count>(size) + noise;
    }

    /** Ends one request and starts new ones up to the wanted number. */
    static void use(simulated_fleet &fleet, simulated_daemon &daemon, const team_name &name,
                    right_count wanted)
    {
        fleet.release(daemon, name);
        fleet.releaseAll(daemon, name, wanted);
        fleet.acquireAll(daemon, name, wanted);
        fleet.setDemand(daemon, name, wanted - daemon.running[name]);
    }

    static control_cost costOf(const simulated_fleet &fleet, duration time)
    {
        const double seconds = std::chrono::duration<double>(time).count();
        control_cost cost;
        for (const auto &daemon : fleet.daemons) {
            const double bytes = static_cast<double>(daemon->bytesSent) / seconds;
            cost.mean += bytes / static_cast<double>(fleet.daemons.size());
            cost.most = std::max(cost.most, bytes);
        }
        cost.storeCalls = static_cast<double>(fleet.storeCalls) / seconds;
        return cost;
    }

    static void check(const char *name, std::size_t size, const control_cost &cost)
    {
        std::cout << "\n"
                  << size << " daemons, " << teamCount << " teams, " << name << ": mean "
                  << cost.mean << " B/s, most " << cost.most << " B/s, store " << cost.storeCalls
                  << " calls/s";
        constexpr double budget{15'000};
        CPPUNIT_ASSERT(cost.most < budget);
        CPPUNIT_ASSERT(cost.storeCalls <= 2);
    }

    std::size_t m_round{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_cost_test);

} // namespace

} // namespace azurelb::test
