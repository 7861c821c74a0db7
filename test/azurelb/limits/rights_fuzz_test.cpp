#include "simulated_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <iostream>

namespace azurelb::test {

/** One command of the stateful test. The values are reduced modulo the valid range. */
struct fuzz_command
{
    unsigned kind{};
    unsigned daemonIndex{};
    unsigned amount{};
};

void showValue(const fuzz_command &command, std::ostream &out);

namespace {

const std::array<team_name, 2> teams{team_name{"choir"}, team_name{"shop"}};

/** Coverage counters that show that the runs exercised the limits. */
struct fuzz_coverage
{
    std::size_t commands{};
    /** Commands after which a team had as many running requests as its bound allows. */
    std::size_t atLimit{};
    std::size_t reclaimed{};
};

/** Applies commands to a simulated fleet and verifies the bounds after each. */
class fuzz_run
{
public:
    fuzz_run(unsigned seed, fuzz_coverage &coverage)
        : m_fleet{4, fuzzOptions(), seed}
        , m_coverage{coverage}
    {
        m_fleet.configLag = 20;
        for (const team_name &team : teams)
            m_fleet.setLimit(team, 12);
        m_fleet.advance(3s);
    }

    void apply(const fuzz_command &command)
    {
        // A tenth of the short waits are replaced by heal(), so that reclaims can complete.
        const bool heals = command.kind < 3 && command.amount % 10 == 0;
        const action row = heals ? &fuzz_run::heal : commands[command.kind % commands.size()];
        (this->*row)(pick(command.daemonIndex), teams[command.amount % 2], command.amount / 2);
        m_fleet.verify();
        count();
    }

    /** Checks that after all faults and all work have ended the daemons hold the full limits. */
    void settle()
    {
        // The second call kills daemons that closed during the first one.
        heal(pick(0), teams[0], 0);
        heal(pick(0), teams[0], 0);
        for (auto &daemon : m_fleet.daemons) {
            for (const team_name &team : teams) {
                m_fleet.setDemand(*daemon, team, 0);
                m_fleet.releaseAll(*daemon, team);
            }
        }
        m_fleet.advance(20s);
        for (const team_name &team : teams)
            RC_ASSERT(m_fleet.held(team) == m_fleet.bound(team));
        const auto rows = static_cast<std::size_t>(m_fleet.document.holders_size());
        m_coverage.reclaimed += m_fleet.document.last_number() - rows;
    }

private:
    using action = void (fuzz_run::*)(simulated_daemon &, const team_name &, unsigned);

    static rights_options fuzzOptions()
    {
        rights_options options;
        options.maxRequestTime = 5s;
        options.maxProofAge = 5s;
        options.replacementDelay = 4s;
        options.tickInterval = 50ms;
        return options;
    }

    /** Returns one of the daemons that are not killed. */
    simulated_daemon &pick(unsigned daemonIndex)
    {
        std::vector<simulated_daemon *> found;
        for (auto &daemon : m_fleet.daemons) {
            if (!daemon->killed)
                found.push_back(daemon.get());
        }
        return *found[daemonIndex % found.size()];
    }

    void wait(simulated_daemon &, const team_name &, unsigned amount)
    {
        m_fleet.advance((1 + amount % 4) * 50ms);
    }

    void waitLong(simulated_daemon &, const team_name &, unsigned amount)
    {
        for (unsigned count = 0; count <= amount % 4; ++count) {
            m_fleet.advance(500ms);
            m_fleet.verify();
        }
    }

    void acquire(simulated_daemon &daemon, const team_name &team, unsigned amount)
    {
        for (unsigned count = 0; count <= amount % 8; ++count)
            m_fleet.acquire(daemon, team);
    }

    void release(simulated_daemon &daemon, const team_name &team, unsigned amount)
    {
        for (unsigned count = 0; count <= amount % 8; ++count)
            m_fleet.release(daemon, team);
    }

    void setDemand(simulated_daemon &daemon, const team_name &team, unsigned amount)
    {
        m_fleet.setDemand(daemon, team, amount % 16);
    }

    void gather(simulated_daemon &daemon, const team_name &team, unsigned)
    {
        m_fleet.setDemand(daemon, team, 12);
        for (int round = 0; round < 6; ++round) {
            m_fleet.advance(50ms);
            m_fleet.acquireAll(daemon, team);
        }
        m_fleet.setDemand(daemon, team, 0);
    }

    void setLimit(simulated_daemon &, const team_name &team, unsigned amount)
    {
        m_fleet.setLimit(team, amount % 20);
    }

    void setNetworkFaults(simulated_daemon &, const team_name &, unsigned amount)
    {
        m_fleet.network.loss = (amount % 3) * 0.2;
        m_fleet.network.repeat = (amount / 3 % 3) * 0.3;
        m_fleet.network.jitter = (amount / 9 % 4) * 3s;
    }

    /** Kills a daemon; its VM may be removed at once, and a new daemon may start. */
    void kill(simulated_daemon &daemon, const team_name &, unsigned amount)
    {
        m_fleet.kill(daemon);
        if (amount % 2 == 0)
            m_fleet.removeVm(daemon);
        if (amount % 3 != 0 || alive() < 3)
            m_fleet.start("entry-" + std::to_string(amount / 2 % 4));
    }

    /** Removes the VMs of killed daemons, and in some cases that of a running daemon. */
    void removeVms(simulated_daemon &daemon, const team_name &, unsigned amount)
    {
        for (auto &each : m_fleet.daemons) {
            if (each->killed)
                m_fleet.removeVm(*each);
        }
        if (amount % 8 == 0 && alive() > 3)
            m_fleet.removeVm(daemon);
    }

    void pause(simulated_daemon &daemon, const team_name &, unsigned) { daemon.paused = true; }

    void resume(simulated_daemon &daemon, const team_name &team, unsigned amount)
    {
        // If the daemon was removed in the meantime, its work has ended before it resumes.
        if (daemon.paused)
            m_fleet.resume(daemon);
        m_fleet.advance(50ms);
        acquire(daemon, team, amount);
    }

    /** Starts a second daemon with the same VM name. */
    void startDuplicate(simulated_daemon &daemon, const team_name &, unsigned)
    {
        if (alive() < 6)
            m_fleet.start(daemon.id.vm.value());
    }

    /** Ends all faults, kills closed and duplicate daemons, and leaves time to reclaim rights. */
    void heal(simulated_daemon &daemon, const team_name &team, unsigned amount)
    {
        m_fleet.network = {};
        m_fleet.storeDown = m_fleet.answersLost = false;
        std::set<vm_id> names;
        for (auto &each : m_fleet.daemons) {
            each->cutIn = each->cutOut = each->storeCut = false;
            const bool removed = m_fleet.departures.gone.contains(each->id);
            if (each->killed)
                continue;
            if (removed || each->protocol->isClosed() || !names.insert(each->id.vm).second)
                m_fleet.kill(*each);
            else if (each->paused)
                m_fleet.resume(*each);
        }
        if (alive() == 0)
            m_fleet.start("entry-0");
        removeVms(daemon, team, amount | 1);
        for (unsigned round = 0; round < 4 + amount % 5; ++round) {
            gather(pick(amount + round), team, amount);
            m_fleet.verify();
            waitLong(daemon, team, 0);
        }
        m_fleet.advance(8s);
    }

    /** Toggles message loss in one direction or both. */
    void toggleCut(simulated_daemon &daemon, const team_name &, unsigned amount)
    {
        daemon.cutIn ^= amount % 3 != 0;
        daemon.cutOut ^= amount % 3 != 1;
    }

    void toggleStoreCut(simulated_daemon &daemon, const team_name &, unsigned)
    {
        daemon.storeCut = !daemon.storeCut;
    }

    void toggleStoreDown(simulated_daemon &, const team_name &, unsigned)
    {
        m_fleet.storeDown = !m_fleet.storeDown;
    }

    void loseAnswers(simulated_daemon &, const team_name &, unsigned amount)
    {
        m_fleet.answersLost = amount % 2 == 0;
        m_fleet.storeDelay = (amount % 5) * 100ms;
    }

    void count()
    {
        ++m_coverage.commands;
        const auto isAtLimit = [this](const team_name &team) {
            return m_fleet.running(team) > 0 && m_fleet.running(team) == m_fleet.bound(team);
        };
        m_coverage.atLimit += std::any_of(teams.begin(), teams.end(), isAtLimit) ? 1 : 0;
    }

    [[nodiscard]] std::size_t alive() const
    {
        std::size_t count = 0;
        for (const auto &daemon : m_fleet.daemons)
            count += daemon->killed ? 0 : 1;
        return count;
    }

    static constexpr std::array<action, 24> commands{&fuzz_run::wait,
                                                     &fuzz_run::wait,
                                                     &fuzz_run::wait,
                                                     &fuzz_run::acquire,
                                                     &fuzz_run::acquire,
                                                     &fuzz_run::setDemand,
                                                     &fuzz_run::gather,
                                                     &fuzz_run::gather,
                                                     &fuzz_run::gather,
                                                     &fuzz_run::release,
                                                     &fuzz_run::release,
                                                     &fuzz_run::waitLong,
                                                     &fuzz_run::setLimit,
                                                     &fuzz_run::setNetworkFaults,
                                                     &fuzz_run::kill,
                                                     &fuzz_run::removeVms,
                                                     &fuzz_run::pause,
                                                     &fuzz_run::resume,
                                                     &fuzz_run::resume,
                                                     &fuzz_run::startDuplicate,
                                                     &fuzz_run::toggleCut,
                                                     &fuzz_run::toggleStoreCut,
                                                     &fuzz_run::toggleStoreDown,
                                                     &fuzz_run::loseAnswers};

    simulated_fleet m_fleet;
    fuzz_coverage &m_coverage;
};

rc::Gen<std::vector<fuzz_command>> anyCommands()
{
    constexpr std::size_t commandsPerRun{1000};
    const auto command = rc::gen::build<fuzz_command>(
        rc::gen::set(&fuzz_command::kind, rc::gen::inRange(0U, 24U)),
        rc::gen::set(&fuzz_command::daemonIndex, rc::gen::inRange(0U, 64U)),
        rc::gen::set(&fuzz_command::amount, rc::gen::inRange(0U, 256U)));
    // A fixed size makes every run use the full range of commands.
    const auto full = rc::gen::resize(rc::kNominalSize, command);
    return rc::gen::container<std::vector<fuzz_command>>(commandsPerRun, full);
}

class rights_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_fuzz_test);
    CPPUNIT_TEST(runningWorkStaysWithinTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void runningWorkStaysWithinTheLimit()
    {
        fuzz_coverage coverage;
        CPPUNIT_ASSERT(rc::check("running work stays within the limit", [&coverage] {
            fuzz_run run{*rc::gen::inRange(0U, 1000U), coverage};
            for (const fuzz_command &command : *anyCommands())
                run.apply(command);
            run.settle();
        }));
        std::cout << coverage.commands << " commands, " << coverage.atLimit << " at the limit, "
                  << coverage.reclaimed << " daemons reclaimed\n";
        CPPUNIT_ASSERT(coverage.atLimit > coverage.commands / 20);
        CPPUNIT_ASSERT(coverage.reclaimed > coverage.commands / 200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_fuzz_test);

} // namespace

void showValue(const fuzz_command &command, std::ostream &out)
{
    out << command.kind << '/' << command.daemonIndex << '/' << command.amount;
}

} // namespace azurelb::test
