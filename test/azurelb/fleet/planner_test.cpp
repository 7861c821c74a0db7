#include "fake_fleet.hpp"

#include <azurelb/fleet/budget_violation.hpp>
#include <azurelb/fleet/planner.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace azurelb;
using namespace azurelb::test;

class planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planner_test);
    CPPUNIT_TEST(fillsPoolsToTheirMinimumAndKeepsTheRestSpare);
    CPPUNIT_TEST(plansNothingWithAnOldList);
    CPPUNIT_TEST(rebootOrdersExpire);
    CPPUNIT_TEST(refillsFromTheSparePoolAfterAFailure);
    CPPUNIT_TEST(ignoresListEntriesOfThePreviousBoot);
    CPPUNIT_TEST(waveStopsWithoutFurtherReboots);
    CPPUNIT_TEST(wavePausesAfterFailuresUntilResumed);
    CPPUNIT_TEST(waveUsesSpareVmsWhereAPoolIsAtItsMinimum);
    CPPUNIT_TEST(zoneOutReportsViolatedBudgets);
    CPPUNIT_TEST(zoneReturnsGradually);
    CPPUNIT_TEST(everyChangeOfAVmIsRecorded);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_world.addPool("a", 4, 8, 2);
        m_world.addPool("spare", 0, 8, 2, true);
        for (int index = 0; index < 8; ++index) {
            m_world.addVm("vm" + std::to_string(index), "z" + std::to_string(index % 4),
                          "rack" + std::to_string(index % 2));
        }
        m_world.advance(seconds{1});
    }

    void fillsPoolsToTheirMinimumAndKeepsTheRestSpare()
    {
        run(seconds{20});
        CPPUNIT_ASSERT_EQUAL(4, count("a", wire::VM_STATE_SERVING));
        CPPUNIT_ASSERT_EQUAL(4, count("spare", wire::VM_STATE_SERVING));
    }

    void plansNothingWithAnOldList()
    {
        m_listAge = m_options.maxListAge + seconds{1};
        CPPUNIT_ASSERT(!plan().document);
        m_listAge = m_options.maxListAge;
        CPPUNIT_ASSERT(plan().document);
    }

    void rebootOrdersExpire()
    {
        const time_point committed = m_world.now;
        CPPUNIT_ASSERT(isRebootDue(committed, m_options, committed + m_options.maxOrderDelay));
        CPPUNIT_ASSERT(
            !isRebootDue(committed, m_options, committed + m_options.maxOrderDelay + seconds{1}));
    }

    void refillsFromTheSparePoolAfterAFailure()
    {
        run(seconds{20});
        m_world.kill(memberOf("a"));
        run(seconds{10});
        CPPUNIT_ASSERT_EQUAL(4, count("a", wire::VM_STATE_SERVING));
        CPPUNIT_ASSERT_EQUAL(3, count("spare", wire::VM_STATE_SERVING));
    }

    void ignoresListEntriesOfThePreviousBoot()
    {
        run(seconds{20});
        startWave("a");
        std::string maintained;
        while (maintained.empty()) {
            run(seconds{1});
            for (const wire::fleet_vm &vm : m_world.fleet.vms()) {
                const bool isBack = vm.state() == wire::VM_STATE_SERVING;
                maintained = isBack && !vm.finished_wave().empty() ? vm.id() : maintained;
            }
        }
        m_lag = seconds{50};
        run(seconds{1});
        CPPUNIT_ASSERT(findVm(m_world.fleet, maintained)->state() == wire::VM_STATE_SERVING);
        CPPUNIT_ASSERT_EQUAL(std::string{"probed"}, findVm(m_world.fleet, maintained)->reason());
    }

    void waveStopsWithoutFurtherReboots()
    {
        run(seconds{20});
        startWave("a");
        run(seconds{2});
        CPPUNIT_ASSERT_EQUAL(2, count("a", wire::VM_STATE_DRAINING));
        m_world.bumpConfigRevision();
        m_world.config.mutable_waves(0)->set_stopped(true);
        run(seconds{1});
        CPPUNIT_ASSERT_EQUAL(6, count("a", wire::VM_STATE_SERVING));
        run(seconds{200});
        CPPUNIT_ASSERT_EQUAL(0U, m_reboots);
    }

    void wavePausesAfterFailuresUntilResumed()
    {
        m_world.config.mutable_pools(0)->set_unavailable_vms(4);
        run(seconds{20});
        for (auto &[id, vm] : m_world.vms)
            vm.isRebootFailing = true;
        startWave("a", "spare");
        run(seconds{800});
        CPPUNIT_ASSERT(!m_world.fleet.waves(0).paused().empty());
        CPPUNIT_ASSERT(m_world.fleet.waves(0).failed() >= m_options.failureLimit);
        m_world.config.mutable_waves(0)->set_generation(2);
        run(seconds{2});
        CPPUNIT_ASSERT(m_world.fleet.waves(0).paused().empty());
    }

    void waveUsesSpareVmsWhereAPoolIsAtItsMinimum()
    {
        run(seconds{20});
        startWave("a");
        run(seconds{400});
        CPPUNIT_ASSERT(m_world.fleet.waves(0).finished_ms() != 0);
        CPPUNIT_ASSERT_EQUAL(4U, m_world.fleet.waves(0).completed());
        CPPUNIT_ASSERT_EQUAL(4U, m_leastAvailable);
    }

    void zoneOutReportsViolatedBudgets()
    {
        run(seconds{20});
        const auto violations = findZoneOutViolations(m_world.config, m_world.fleet,
                                                      *m_world.list(seconds{0}), zone_name{"z0"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, violations.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"pool a: 1 VMs unavailable of 2 allowed, 3 available of "
                                         "at least 4"},
                             toString(violations.front()));
        m_world.config.mutable_pools(0)->set_minimum_vms(3);
        CPPUNIT_ASSERT(findZoneOutViolations(m_world.config, m_world.fleet,
                                             *m_world.list(seconds{0}), zone_name{"z0"})
                           .empty());
    }

    void zoneReturnsGradually()
    {
        m_world.config.mutable_pools(0)->set_minimum_vms(8);
        run(seconds{20});
        m_world.setZone("z0", true);
        run(seconds{20});
        CPPUNIT_ASSERT_EQUAL(6, count("a", wire::VM_STATE_SERVING));
        m_world.setZone("z0", false);
        run(seconds{4});
        CPPUNIT_ASSERT_EQUAL(6, count("a", wire::VM_STATE_SERVING));
        run(seconds{2});
        CPPUNIT_ASSERT_EQUAL(7, count("a", wire::VM_STATE_SERVING));
        run(seconds{3});
        CPPUNIT_ASSERT_EQUAL(8, count("a", wire::VM_STATE_SERVING));
    }

    void everyChangeOfAVmIsRecorded()
    {
        const plan_result step = plan();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, step.records.size());
        const wire::audit_record &record = step.records.front();
        CPPUNIT_ASSERT_EQUAL(std::string{"new in the platform's list"}, record.reason());
        CPPUNIT_ASSERT(record.before().empty());
        CPPUNIT_ASSERT(record.after().find("VM_STATE_PROBING") != std::string::npos);
    }

private:
    [[nodiscard]] plan_result plan()
    {
        const vm_list_ptr list = m_world.list(m_lag);
        const auto observed = m_world.observe(seconds{1});
        return m_planner.plan({m_world.config,
                               revision{m_world.configRevision},
                               m_world.fleet,
                               *list,
                               m_world.now - m_listAge,
                               observed,
                               {},
                               m_world.now,
                               wallAt(m_world.now),
                               "step"});
    }

    void run(seconds time)
    {
        for (seconds passed{0}; passed < time; ++passed) {
            plan_result step = plan();
            if (step.document)
                CPPUNIT_ASSERT(
                    m_world.commit(*step.document, m_world.fleetRevision, m_world.configRevision));
            for (const reboot_order &order : step.reboots) {
                m_world.reboot(order.vm.value());
                ++m_reboots;
            }
            m_world.advance(seconds{1});
            m_leastAvailable = std::min<std::uint32_t>(
                m_reboots > 0 ? count("a", wire::VM_STATE_SERVING) : m_leastAvailable,
                m_leastAvailable);
        }
    }

    void startWave(const std::string &pool, const std::string &other = {})
    {
        m_world.bumpConfigRevision();
        wire::wave &wave = *m_world.config.add_waves();
        wave.set_id("wave");
        wave.set_generation(1);
        wave.add_pools(pool);
        wave.add_pools(other);
    }

    [[nodiscard]] int count(const std::string &pool, wire::vm_state state) const
    {
        const auto &vms = m_world.fleet.vms();
        return static_cast<int>(std::count_if(vms.begin(), vms.end(), [&](const auto &vm) {
            return vm.pool() == pool && vm.state() == state && !vm.absent();
        }));
    }

    [[nodiscard]] std::string memberOf(const std::string &pool) const
    {
        const auto &vms = m_world.fleet.vms();
        return std::find_if(vms.begin(), vms.end(),
                            [&pool](const auto &vm) { return vm.pool() == pool; })
            ->id();
    }

    fleet_options m_options{};
    planner m_planner{m_options};
    fake_fleet m_world{};
    seconds m_lag{1};
    duration m_listAge{};
    std::uint32_t m_reboots{0};
    std::uint32_t m_leastAvailable{100};
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_test);

} // namespace
