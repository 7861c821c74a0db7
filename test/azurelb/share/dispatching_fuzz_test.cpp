#include "simulated_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdio>
#include <string>

namespace {

using namespace azurelb;
using namespace azurelb::testing;
using namespace std::chrono_literals;

constexpr std::size_t daemons{4};
constexpr std::size_t upstreams{4};
constexpr std::uint32_t slots{8};
/**
 * After a change of dispatcher, slots may be exceeded for this long, until leases have expired and
 * runs have ended.
 */
constexpr duration settlingTime{3s};
/** Longest time for which a slot may be idle while a request that may run waits. */
constexpr duration maxIdleTime{100ms};

/** Number of requests that arrive at once in a burst. */
constexpr std::uint32_t burstRequests{100};

const char *const teams[]{"a", "b", "c"};
const char *const zoneNames[]{"milano", "bergamo", "verona", "trento"};

/** One step: the index of its handler and the handler's two arguments. */
struct command
{
    std::size_t kind{};
    std::uint32_t first{};
    std::uint32_t second{};
};

std::ostream &operator<<(std::ostream &out, const command &each)
{
    return out << each.kind << '(' << each.first << ',' << each.second << ')';
}

/** A simulated fleet whose invariants are checked after every command. */
class checked_fleet
{
    using handler = void (checked_fleet::*)(std::uint32_t, std::uint32_t);

    void sendRequest(std::uint32_t at, std::uint32_t count)
    {
        const std::uint32_t number = count % 8 == 0 ? burstRequests : count % 8;
        for (std::uint32_t done = 0; done < number; ++done) {
            if (m_fleet.isAlive(at % daemons))
                m_fleet.sendRequest(at % daemons, team_name{teams[(at + count) % 3]}, 1500ms);
        }
    }

    void sendRequestAvoiding(std::uint32_t at, std::uint32_t upstream)
    {
        if (m_fleet.isAlive(at % daemons))
            m_fleet.sendRequest(at % daemons, team_name{teams[0]}, 1500ms,
                                {vm_id{"executor-" + std::to_string(upstream % upstreams)}});
    }

    void wait(std::uint32_t first, std::uint32_t)
    {
        m_fleet.advance(std::chrono::milliseconds{first % 80});
    }

    void cancel(std::uint32_t part, std::uint32_t) { m_fleet.cancelWaiting(0.01 * (part % 100)); }

    void kill(std::uint32_t at, std::uint32_t)
    {
        std::size_t alive = 0;
        for (std::size_t index = 0; index < daemons; ++index)
            alive += m_fleet.isAlive(index) ? 1 : 0;
        if (alive < 2 || !m_fleet.isAlive(at % daemons))
            return;
        m_fleet.kill(at % daemons);
        markDisturbed();
    }

    void replace(std::uint32_t at, std::uint32_t)
    {
        m_fleet.replace(at % daemons);
        markDisturbed();
    }

    void pause(std::uint32_t at, std::uint32_t span)
    {
        if (!m_fleet.isAlive(at % daemons))
            return;
        m_fleet.pause(at % daemons, std::chrono::milliseconds{50 * (span % 100)});
        m_disturbedUntil =
            std::max(m_disturbedUntil, m_fleet.now() + 50ms * (span % 100) + settlingTime);
    }

    void setNetwork(std::uint32_t kind, std::uint32_t jitter)
    {
        const double loss = kind % 3 == 0 ? 0.2 : 0;
        m_fleet.setDelay(std::chrono::milliseconds{jitter % 30}, loss, kind % 2 == 0 ? 0.2 : 0);
        m_isNetworkBad = loss > 0 || jitter % 30 > 0;
        markDisturbed();
    }

    void setZone(std::uint32_t zone, std::uint32_t isIn)
    {
        m_fleet.setEligible(zone_name{zoneNames[zone % 2]}, isIn % 2 == 0);
        markDisturbed();
    }

    void setFailing(std::uint32_t upstream, std::uint32_t isFailing)
    {
        m_fleet.setFailing(upstream % upstreams, isFailing % 2 == 0);
        markDisturbed();
    }

    void setBound(std::uint32_t at, std::uint32_t bound)
    {
        for (const char *team : teams)
            m_fleet.limits(at % daemons).setBound(team_name{team}, 4 + bound % 30);
        markDisturbed();
    }

    void setConfirmed(std::uint32_t at, std::uint32_t isConfirmed)
    {
        if (m_fleet.isAlive(at % daemons))
            m_fleet.setConfirmed(at % daemons, isConfirmed % 4 != 0);
        markDisturbed();
    }

    void markDisturbed()
    {
        m_disturbedUntil = std::max(m_disturbedUntil, m_fleet.now() + settlingTime);
    }

public:
    /** Handlers of the commands; those that disturb nothing come first. */
    static constexpr handler handlers[]{&checked_fleet::sendRequest,
                                        &checked_fleet::wait,
                                        &checked_fleet::sendRequestAvoiding,
                                        &checked_fleet::cancel,
                                        &checked_fleet::setNetwork,
                                        &checked_fleet::setZone,
                                        &checked_fleet::setFailing,
                                        &checked_fleet::setBound,
                                        &checked_fleet::setConfirmed,
                                        &checked_fleet::pause,
                                        &checked_fleet::kill,
                                        &checked_fleet::replace};

    explicit checked_fleet(fleet_options options)
        : m_fleet{std::move(options)}
    {
        markDisturbed();
    }

    void apply(const command &each)
    {
        m_fleet.resetPeaks();
        (this->*handlers[each.kind])(each.first, each.second);
        check();
    }

    void check()
    {
        RC_ASSERT(m_fleet.repeatedOutcomes() == 0U);
        RC_ASSERT(m_fleet.areRightsBalanced());
        if (m_fleet.now() > m_fleet.dispatcherChangedAt() + settlingTime)
            RC_ASSERT(m_fleet.maxRunning() <= slots);
        if (m_fleet.now() > m_disturbedUntil + 2 * maxIdleTime && !m_isNetworkBad)
            RC_ASSERT(m_fleet.maxIdleTime() <= maxIdleTime);
    }

    /** Repairs all faults and checks that all requests end and all slots are used again. */
    void finish()
    {
        for (std::uint32_t at = 0; at < daemons; ++at) {
            m_fleet.replace(at);
            m_fleet.setConfirmed(at, true);
            setBound(at, 25);
            setFailing(at, 1);
            setZone(at, 0);
        }
        setNetwork(1, 0);
        m_fleet.advance(12s);
        RC_ASSERT(m_fleet.openRequests() == 0U);
        RC_ASSERT(m_fleet.busy() == 0U);
        RC_ASSERT(m_fleet.areRightsBalanced());
        m_fleet.resetPeaks();
        for (std::uint32_t round = 0; round < 20; ++round) {
            m_fleet.advance(20ms);
            for (std::uint32_t at = 0; at < 12 * daemons; ++at)
                sendRequest(at, 7);
            m_fleet.advance(20ms);
        }
        RC_ASSERT(m_fleet.findDispatcher()->capacity() == std::size_t{slots * upstreams});
        RC_ASSERT(m_fleet.busy() >= std::size_t{slots * upstreams} - 2);
        check();
    }

private:
    simulated_fleet m_fleet;
    time_point m_disturbedUntil{};
    bool m_isNetworkBad{false};
};

/** Maximum commands of one case; rapidcheck runs 100 cases unless RC_PARAMS is set. */
constexpr int maxCommands{1200};

[[nodiscard]] fleet_options smallFleet(std::uint64_t seed)
{
    fleet_options options;
    options.daemons = daemons;
    options.upstreams = upstreams;
    options.slots = slots;
    options.meanRun = 30ms;
    options.seed = seed;
    options.share.maxSlotsPerDaemon = 64 / daemons;
    options.shares = {{team_name{"a"}, 5}, {team_name{"b"}, 3}, {team_name{"c"}, 1}};
    return options;
}

class dispatching_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatching_fuzz_test);
    CPPUNIT_TEST(leavesNoSlotIdle);
    CPPUNIT_TEST(keepsInvariantsUnderNetworkFaults);
    CPPUNIT_TEST(keepsInvariantsUnderAllFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void leavesNoSlotIdle() { check("no faults", {40, 50, 3, 1}); }

    void keepsInvariantsUnderNetworkFaults()
    {
        check("network faults", {40, 50, 3, 1, 2, 1, 1, 1, 1});
    }

    void keepsInvariantsUnderAllFaults()
    {
        check("all faults", {40, 50, 3, 1, 1, 1, 1, 1, 1, 2, 1, 2});
    }

private:
    /** Runs random commands; weights[i] is the relative frequency of handlers[i]. */
    static void check(const std::string &property, const std::vector<std::size_t> &weights)
    {
        std::vector<std::size_t> kinds;
        for (std::size_t kind = 0; kind < weights.size(); ++kind)
            kinds.insert(kinds.end(), weights[kind], kind);
        std::uint64_t applied = 0;
        const auto run = [&kinds, &applied](std::uint64_t seed) {
            const auto one = rc::gen::construct<command>(rc::gen::elementOf(kinds),
                                                         rc::gen::inRange<std::uint32_t>(0, 1000),
                                                         rc::gen::inRange<std::uint32_t>(0, 1000));
            const auto commands =
                *rc::gen::resize(maxCommands, rc::gen::container<std::vector<command>>(one));
            checked_fleet fleet{smallFleet(seed)};
            for (const command &each : commands)
                fleet.apply(each);
            applied += commands.size();
            fleet.finish();
        };
        const bool holds = rc::check(property, run);
        std::printf("  %s: %lu commands\n", property.c_str(), applied);
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatching_fuzz_test);

} // namespace
