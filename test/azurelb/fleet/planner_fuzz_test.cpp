#include "fleet_oracle.hpp"

#include <azurelb/fleet/budget_violation.hpp>
#include <azurelb/fleet/planner.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <optional>

namespace {

using namespace azurelb;
using namespace azurelb::test;

constexpr std::size_t commandsInRun = 1000;
constexpr seconds convergenceTimeout{3000};
constexpr std::array zones{"z1", "z2", "z3", "z4"};

struct command
{
    std::uint8_t kind{};
    std::uint8_t first{};
    std::uint8_t second{};
};

std::ostream &operator<<(std::ostream &out, const command &each)
{
    const bool isPlain = each.kind == 0 && each.first == 0 && each.second == 0;
    if (isPlain)
        return out << '-';
    return out << int{each.kind} % 28 << '/' << int{each.first} << '/' << int{each.second};
}

struct pending_plan
{
    plan_result step{};
    vm_list_ptr list{};
    std::int64_t fleetRevision{};
    std::int64_t configRevision{};
    time_point planned{};
};

struct delayed_order
{
    reboot_order order{};
    time_point committed{};
};

struct daemon
{
    std::unique_ptr<planner> plans{};
    seconds lag{};
    std::optional<pending_plan> pendingPlan{};
    /** Last list that it fetched if its fetches fail, and the time at which that was requested. */
    vm_list_ptr staleList{};
    time_point staleListRequestedAt{};
};

fleet_options fuzzOptions()
{
    fleet_options options;
    options.probeTimeout = seconds{60};
    options.drainTimeout = seconds{40};
    options.rebootTimeout = seconds{150};
    options.resizeDelay = seconds{20};
    options.maxMovesPerHour = 1000;
    return options;
}

class fuzz_run
{
public:
    fuzz_run()
    {
        m_world.addPool("a", 4, 8, 2);
        m_world.addPool("b", 3, 6, 1);
        m_world.addPool("spare", 1, 8, 2, true);
        for (int index = 0; index < 16; ++index)
            addVm();
        m_world.advance(seconds{1});
        for (const int lag : {1, 4, 8})
            m_daemons.push_back({std::make_unique<planner>(m_options), seconds{lag}, {}});
    }

    void run(const command &each)
    {
        static constexpr std::array handlers{&fuzz_run::advance,
                                             &fuzz_run::advance,
                                             &fuzz_run::step,
                                             &fuzz_run::step,
                                             &fuzz_run::step,
                                             &fuzz_run::step,
                                             &fuzz_run::planWithoutCommit,
                                             &fuzz_run::commitPendingPlan,
                                             &fuzz_run::loseCommitReply,
                                             &fuzz_run::delayReboots,
                                             &fuzz_run::orderDelayedReboots,
                                             &fuzz_run::killVm,
                                             &fuzz_run::reviveVm,
                                             &fuzz_run::reviveVm,
                                             &fuzz_run::killRack,
                                             &fuzz_run::replaceVm,
                                             &fuzz_run::zoneOut,
                                             &fuzz_run::zoneIn,
                                             &fuzz_run::startWave,
                                             &fuzz_run::stopWave,
                                             &fuzz_run::failReboots,
                                             &fuzz_run::repairReboots,
                                             &fuzz_run::orderMove,
                                             &fuzz_run::crashVm,
                                             &fuzz_run::restartDaemon,
                                             &fuzz_run::commitStalePlan,
                                             &fuzz_run::commitStalePlan,
                                             &fuzz_run::toggleStaleList};
        (this->*handlers.at(each.kind % handlers.size()))(each);
    }

    /** Repairs all faults and runs steps until all VMs serve and all waves are over. */
    void converge()
    {
        repairPlatform();
        m_daemons.front().staleList = nullptr;
        m_daemons.front().plans = std::make_unique<planner>(m_options);
        const time_point last = m_world.now + convergenceTimeout;
        while (!hasConverged() && m_world.now < last) {
            replaceBrokenVms();
            resumeWaves();
            step({0, 0, 0});
            m_world.advance(seconds{2});
        }
        if (!hasConverged())
            RC_FAIL("did not converge: " + m_world.fleet.ShortDebugString());
    }

private:
    void addVm()
    {
        const int index = m_added++;
        const std::string zone = zones.at(index / 2 % zones.size());
        const std::string id = "vm" + std::to_string(index);
        m_world.addVm(id, zone, "rack" + std::to_string(index / 4 % 4));
        m_world.vms.at(id).longestRequest = seconds{index * 7 % 20};
    }

    [[nodiscard]] std::string vmAt(std::uint8_t index) const
    {
        return std::next(m_world.vms.begin(), index % static_cast<int>(m_world.vms.size()))->first;
    }

    [[nodiscard]] daemon &daemonAt(std::uint8_t index)
    {
        return m_daemons.at(index % m_daemons.size());
    }

    [[nodiscard]] pending_plan plan(daemon &planning)
    {
        const vm_list_ptr list =
            planning.staleList ? planning.staleList : m_world.list(planning.lag);
        const time_point listRequestedAt =
            planning.staleList ? planning.staleListRequestedAt : m_world.now;
        const auto observed = m_world.observe(seconds{2});
        pending_plan made{{}, list, m_world.fleetRevision, m_world.configRevision, m_world.now};
        made.step = planning.plans->plan({m_world.config,
                                          revision{m_world.configRevision},
                                          m_world.fleet,
                                          *list,
                                          listRequestedAt,
                                          observed,
                                          {},
                                          m_world.now,
                                          wallAt(m_world.now),
                                          std::to_string(++m_steps)});
        return made;
    }

    [[nodiscard]] bool commit(const pending_plan &made)
    {
        if (!made.step.document)
            return false;
        const wire::fleet_document before = m_world.fleet;
        if (!m_world.commit(*made.step.document, made.fleetRevision, made.configRevision))
            return false;
        failOn(m_oracle.checkCommit(before, made.planned));
        m_oracle.recordList(*made.list);
        return true;
    }

    void failOn(const std::string &fault) const
    {
        if (!fault.empty())
            RC_FAIL(fault);
    }

    void orderReboot(const delayed_order &delayed)
    {
        if (!isRebootDue(delayed.committed, m_options, m_world.now))
            return;
        if (!m_world.vms.contains(delayed.order.vm.value()))
            return;
        failOn(m_oracle.checkReboot(delayed.order.vm.value()));
        m_world.reboot(delayed.order.vm.value());
    }

    void advance(const command &each) { m_world.advance(seconds{each.first % 6 + 1}); }

    void step(const command &each)
    {
        const pending_plan made = plan(daemonAt(each.first));
        if (!commit(made))
            return;
        for (const reboot_order &order : made.step.reboots)
            orderReboot({order, m_world.now});
        m_world.advance(seconds{1});
    }

    /** Commits a plan that was made before another daemon's step or an operator's change. */
    void commitStalePlan(const command &each)
    {
        planWithoutCommit(each);
        if (each.second % 2 == 0)
            zoneOut({0, each.second, 1});
        else
            step({0, static_cast<std::uint8_t>(each.first + 1), 0});
        commitPendingPlan(each);
    }

    void toggleStaleList(const command &each)
    {
        daemon &planning = daemonAt(each.first);
        planning.staleList = planning.staleList ? nullptr : m_world.list(planning.lag);
        planning.staleListRequestedAt = m_world.now;
    }

    void planWithoutCommit(const command &each)
    {
        daemon &planning = daemonAt(each.first);
        planning.pendingPlan = plan(planning);
    }

    void commitPendingPlan(const command &each)
    {
        daemon &planning = daemonAt(each.first);
        if (planning.pendingPlan && commit(*planning.pendingPlan)) {
            for (const reboot_order &order : planning.pendingPlan->step.reboots)
                orderReboot({order, m_world.now});
        }
        planning.pendingPlan.reset();
    }

    void loseCommitReply(const command &each) { (void)commit(plan(daemonAt(each.first))); }

    void delayReboots(const command &each)
    {
        const pending_plan made = plan(daemonAt(each.first));
        if (!commit(made))
            return;
        for (const reboot_order &order : made.step.reboots)
            m_delayedOrders.push_back({order, m_world.now});
    }

    void orderDelayedReboots(const command &)
    {
        std::vector<delayed_order> delayed;
        delayed.swap(m_delayedOrders);
        for (const delayed_order &each : delayed)
            orderReboot(each);
    }

    void killVm(const command &each) { m_world.kill(vmAt(each.first)); }
    void reviveVm(const command &each) { m_world.revive(vmAt(each.first)); }

    void killRack(const command &each)
    {
        if (each.second % 8 != 0)
            return;
        const std::string rack = "rack" + std::to_string(each.first % 4);
        for (const auto &[id, vm] : m_world.vms) {
            if (vm.listed.rack() == rack)
                m_world.kill(id);
        }
    }

    void replaceVm(const command &each)
    {
        m_world.remove(vmAt(each.first));
        addVm();
    }

    void crashVm(const command &each)
    {
        m_world.kill(vmAt(each.first));
        m_world.revive(vmAt(each.first));
    }

    void zoneOut(const command &each)
    {
        const std::string zone = zones.at(each.first % zones.size());
        const auto broken = findZoneOutViolations(m_world.config, m_world.fleet,
                                                  *m_world.list(seconds{2}), zone_name{zone});
        const bool isForced = each.second % 4 == 0;
        if (broken.empty() || isForced)
            m_world.setZone(zone, true);
    }

    void zoneIn(const command &each)
    {
        m_world.setZone(zones.at(each.first % zones.size()), false);
    }

    void startWave(const command &each)
    {
        if (m_world.config.waves_size() > 20)
            return;
        m_world.bumpConfigRevision();
        wire::wave &wave = *m_world.config.add_waves();
        wave.set_id("wave" + std::to_string(m_world.config.waves_size()));
        wave.set_generation(m_world.config.generation());
        wave.add_pools(each.first % 2 == 0 ? "a" : "b");
        if (each.second % 2 == 0)
            wave.add_pools("spare");
    }

    void stopWave(const command &each)
    {
        if (m_world.config.waves().empty() || each.second % 4 != 0)
            return;
        m_world.bumpConfigRevision();
        m_world.config.mutable_waves(each.first % m_world.config.waves_size())->set_stopped(true);
    }

    void failReboots(const command &each)
    {
        m_world.vms.at(vmAt(each.first)).isRebootFailing = each.second % 2 == 0;
        m_world.vms.at(vmAt(each.first)).isRebootIgnored = each.second % 2 != 0;
    }

    void repairReboots(const command &)
    {
        for (auto &[id, vm] : m_world.vms) {
            vm.isRebootFailing = false;
            vm.isRebootIgnored = false;
        }
    }

    void orderMove(const command &each)
    {
        static constexpr std::array pools{"a", "b", "spare"};
        m_world.bumpConfigRevision();
        wire::move_order &order = *m_world.config.add_moves();
        order.set_vm(vmAt(each.first));
        order.set_pool(pools.at(each.second % pools.size()));
        order.set_generation(m_world.config.generation());
    }

    void restartDaemon(const command &each)
    {
        daemonAt(each.first).plans = std::make_unique<planner>(m_options);
        daemonAt(each.first).pendingPlan.reset();
    }

    void repairPlatform()
    {
        repairReboots({});
        for (const char *zone : zones)
            m_world.setZone(zone, false);
        for (const auto &each : m_world.vms)
            m_world.revive(each.first);
    }

    void replaceBrokenVms()
    {
        for (const wire::fleet_vm &vm : m_world.fleet.vms()) {
            if (vm.state() != wire::VM_STATE_BROKEN || !m_world.vms.contains(vm.id()))
                continue;
            m_world.remove(vm.id());
            addVm();
        }
    }

    void resumeWaves()
    {
        for (const wire::wave_progress &progress : m_world.fleet.waves()) {
            if (progress.paused().empty())
                continue;
            m_world.bumpConfigRevision();
            for (wire::wave &wave : *m_world.config.mutable_waves()) {
                if (wave.id() == progress.id())
                    wave.set_generation(m_world.config.generation());
            }
        }
    }

    [[nodiscard]] bool isWaveOver(const wire::wave &wave) const
    {
        if (wave.stopped())
            return true;
        for (const wire::wave_progress &progress : m_world.fleet.waves()) {
            if (progress.id() == wave.id())
                return progress.finished_ms() != 0;
        }
        return false;
    }

    [[nodiscard]] bool hasConverged() const
    {
        const auto &vms = m_world.fleet.vms();
        const auto &waves = m_world.config.waves();
        const bool allServe = std::all_of(vms.begin(), vms.end(), [](const auto &vm) {
            return vm.state() == wire::VM_STATE_SERVING && !vm.absent();
        });
        const bool allOver = std::all_of(waves.begin(), waves.end(),
                                         [this](const auto &wave) { return isWaveOver(wave); });
        return allServe && allOver && m_world.vms.size() == static_cast<std::size_t>(vms.size());
    }

    fleet_options m_options{fuzzOptions()};
    fake_fleet m_world{};
    fleet_oracle m_oracle{m_world};
    std::vector<daemon> m_daemons{};
    std::vector<delayed_order> m_delayedOrders{};
    int m_added{0};
    int m_steps{0};
};

/** Generates uniform values, independent of the size of the test case. */
rc::Gen<std::uint8_t> byteGenerator()
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>());
}

class planner_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planner_fuzz_test);
    CPPUNIT_TEST(keepsBudgetsAndStateRules);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsBudgetsAndStateRules()
    {
        CPPUNIT_ASSERT(rc::check("planners hold budgets, pools and waves", [] {
            const auto commands = *rc::gen::container<std::vector<command>>(
                commandsInRun,
                rc::gen::construct<command>(byteGenerator(), byteGenerator(), byteGenerator()));
            fuzz_run run;
            for (const command &each : commands)
                run.run(each);
            run.converge();
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planner_fuzz_test);

} // namespace
