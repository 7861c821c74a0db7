#include "fake_fleet.hpp"

#include <azurelb/fleet/planner.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>

namespace {

using namespace azurelb;
using namespace azurelb::test;

constexpr seconds bootTime{90};
constexpr seconds longestRequest{5};
constexpr std::array sizes{8, 8, 8, 9, 9, 8};
constexpr std::uint32_t budget{2};

/** Runs a wave over 50 VMs in five pools and a spare pool, in four zones, in virtual time. */
class wave_duration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wave_duration_test);
    CPPUNIT_TEST(staysNearTheShortestDuration);
    CPPUNIT_TEST(staysNearTheShortestDurationWhenDaemonsAreLost);
    CPPUNIT_TEST_SUITE_END();

public:
    void staysNearTheShortestDuration() { runWave(seconds{0}); }

    /** Every minute another daemon takes over planning with only the documents. */
    void staysNearTheShortestDurationWhenDaemonsAreLost() { runWave(seconds{60}); }

private:
    /** Propagation of the drain, the longest request, the boot and the probe. */
    static constexpr seconds maintenanceOfOneVm{seconds{3} + longestRequest + bootTime
                                                + seconds{5}};

    [[nodiscard]] static seconds shortestDuration()
    {
        const auto largest =
            static_cast<std::uint32_t>(*std::max_element(sizes.begin(), sizes.end()));
        return maintenanceOfOneVm * ((largest + budget - 1) / budget);
    }

    void fill()
    {
        int added = 0;
        for (std::size_t pool = 0; pool < sizes.size(); ++pool) {
            const auto size = static_cast<std::uint32_t>(sizes.at(pool));
            const bool isSpare = pool + 1 == sizes.size();
            const std::string name = isSpare ? "spare" : "pool" + std::to_string(pool);
            m_world.addPool(name, isSpare ? 0 : size - budget, 12, budget, isSpare);
            for (std::uint32_t index = 0; index < size; ++index, ++added)
                join(name, added);
        }
        m_world.advance(seconds{2});
    }

    void join(const std::string &pool, int index)
    {
        const std::string id = "vm" + std::to_string(index);
        const std::string zone = "z" + std::to_string(index % 4);
        m_world.addVm(id, zone, zone + "-rack" + std::to_string(index / 16));
        m_world.vms.at(id).longestRequest = longestRequest;
        wire::fleet_vm &vm = *m_world.fleet.add_vms();
        vm.set_id(id);
        vm.set_pool(pool);
        vm.set_zone(zone);
        vm.set_boot_id(m_world.vms.at(id).listed.boot_id());
        auto &size = *m_world.fleet.add_sizes();
        size.set_pool(pool);
        size.set_wanted_vms(12);
    }

    void step(planner &activePlanner)
    {
        const vm_list_ptr list = m_world.list(seconds{2});
        const auto observed = m_world.observe(seconds{1});
        const plan_result made = activePlanner.plan({m_world.config,
                                                     revision{1},
                                                     m_world.fleet,
                                                     *list,
                                                     m_world.now,
                                                     observed,
                                                     {},
                                                     m_world.now,
                                                     wallAt(m_world.now),
                                                     "step"});
        if (made.document)
            CPPUNIT_ASSERT(m_world.commit(*made.document, m_world.fleetRevision, 1));
        for (const reboot_order &order : made.reboots)
            m_world.reboot(order.vm.value());
        m_world.advance(seconds{1});
    }

    void runWave(seconds daemonLifetime)
    {
        fill();
        wire::wave &wave = *m_world.config.add_waves();
        wave.set_id("wave");
        for (const wire::pool &pool : m_world.config.pools())
            wave.add_pools(pool.name());
        fleet_options options;
        options.maxMovesPerHour = 0;
        auto activePlanner = std::make_unique<planner>(options);
        const time_point began = m_world.now;
        time_point startedAt = began;
        while (m_world.fleet.waves().empty() || m_world.fleet.waves(0).finished_ms() == 0) {
            if (daemonLifetime > seconds{0} && m_world.now - startedAt >= daemonLifetime) {
                activePlanner = std::make_unique<planner>(options);
                startedAt = m_world.now;
            }
            step(*activePlanner);
            CPPUNIT_ASSERT(m_world.now - began < shortestDuration() * 10);
        }
        report(std::chrono::duration_cast<seconds>(m_world.now - began));
    }

    void report(seconds spent) const
    {
        std::cerr << " wave over 50 VMs: " << spent.count() << " s, shortest "
                  << shortestDuration().count() << " s, one VM at a time "
                  << (maintenanceOfOneVm * 50).count() << " s, moves "
                  << m_world.fleet.recent_moves_ms_size();
        CPPUNIT_ASSERT_EQUAL(50U, m_world.fleet.waves(0).completed());
        CPPUNIT_ASSERT(spent * 10 <= shortestDuration() * 12);
    }

    fake_fleet m_world{bootTime};
};

CPPUNIT_TEST_SUITE_REGISTRATION(wave_duration_test);

} // namespace
