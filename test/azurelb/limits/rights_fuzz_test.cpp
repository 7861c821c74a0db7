#include "rights_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>

namespace azurelb::test {

/** One command of the stateful test; the numbers choose whom and how much. */
struct fuzz_command
{
    unsigned kind{};
    unsigned who{};
    unsigned amount{};
};

void showValue(const fuzz_command &command, std::ostream &out);

namespace {

const std::array<team_name, 2> teams{team_name{"choir"}, team_name{"shop"}};

/** Applies commands to a fleet and checks the bound after each. */
class fuzz_run
{
public:
    explicit fuzz_run(unsigned seed)
        : m_fleet{4, fuzzOptions(), seed}
    {
        for (const team_name &team : teams)
            m_fleet.setLimit(team, 12);
        m_fleet.advance(3s);
    }

    void apply(const fuzz_command &command)
    {
        const auto &row = commands[command.kind % commands.size()];
        (this->*row)(pick(command.who), teams[command.amount % 2], command.amount / 2);
        m_fleet.verify();
    }

    /** With all faults healed, every right comes back within the hold time and a little more. */
    void settle()
    {
        m_fleet.network = {};
        m_fleet.storeDown = m_fleet.answersLost = false;
        for (auto &daemon : m_fleet.daemons) {
            daemon->cut = daemon->storeCut = false;
            if (daemon->paused)
                m_fleet.resume(*daemon);
            daemon->running.clear();
            if (daemon->killed || daemon->ledger->isClosed())
                m_fleet.depart(*daemon);
        }
        m_fleet.advance(30s);
        for (const team_name &team : teams)
            RC_ASSERT(m_fleet.held(team) <= m_fleet.bound(team));
    }

private:
    using action = void (fuzz_run::*)(fake_daemon &, const team_name &, unsigned);

    static rights_options fuzzOptions()
    {
        rights_options options;
        options.hold = 5s;
        options.tick = 50ms;
        return options;
    }

    fake_daemon &pick(unsigned who) { return *m_fleet.daemons[who % m_fleet.daemons.size()]; }

    void wait(fake_daemon &, const team_name &, unsigned amount)
    {
        m_fleet.advance((1 + amount % 4) * 50ms);
    }

    void waitLong(fake_daemon &, const team_name &, unsigned amount)
    {
        for (unsigned count = 0; count <= amount % 4; ++count) {
            m_fleet.advance(500ms);
            m_fleet.verify();
        }
    }

    void acquire(fake_daemon &daemon, const team_name &team, unsigned amount)
    {
        for (unsigned count = 0; count <= amount % 8; ++count)
            m_fleet.acquire(daemon, team);
    }

    void release(fake_daemon &daemon, const team_name &team, unsigned amount)
    {
        for (unsigned count = 0; count <= amount % 8; ++count)
            m_fleet.release(daemon, team);
    }

    void demand(fake_daemon &daemon, const team_name &team, unsigned amount)
    {
        m_fleet.setDemand(daemon, team, amount % 16);
    }

    void gather(fake_daemon &daemon, const team_name &team, unsigned)
    {
        m_fleet.setDemand(daemon, team, 12);
        for (int round = 0; round < 6; ++round) {
            m_fleet.advance(50ms);
            while (m_fleet.acquire(daemon, team)) {
            }
        }
        m_fleet.setDemand(daemon, team, 0);
    }

    void limit(fake_daemon &, const team_name &team, unsigned amount)
    {
        m_fleet.setLimit(team, amount % 20);
    }

    void network(fake_daemon &, const team_name &, unsigned amount)
    {
        m_fleet.network.loss = (amount % 3) * 0.2;
        m_fleet.network.repeat = (amount / 3 % 3) * 0.3;
        m_fleet.network.jitter = (amount / 9 % 4) * 400ms;
    }

    void kill(fake_daemon &daemon, const team_name &, unsigned)
    {
        if (!daemon.killed && !daemon.ledger->isClosed())
            m_fleet.kill(daemon);
    }

    void depart(fake_daemon &daemon, const team_name &, unsigned amount)
    {
        // The platform may also remove a VM whose daemon is only paused.
        if (daemon.killed || (daemon.paused && amount % 2 == 0))
            m_fleet.depart(daemon);
    }

    void pause(fake_daemon &daemon, const team_name &, unsigned) { daemon.paused = true; }

    void resume(fake_daemon &daemon, const team_name &, unsigned)
    {
        const bool working = m_fleet.now - m_fleet.options.hold < daemon.lostAt;
        const bool removed = m_fleet.departures.gone.contains(daemon.id);
        if (!daemon.killed && daemon.paused && !(removed && working))
            m_fleet.resume(daemon);
    }

    void restart(fake_daemon &daemon, const team_name &, unsigned)
    {
        if (daemon.killed && alive() < 6)
            m_fleet.start(daemon.id.vm.value());
    }

    /** A second daemon under the same name. */
    void doubled(fake_daemon &daemon, const team_name &, unsigned)
    {
        if (!daemon.killed && alive() < 6)
            m_fleet.start(daemon.id.vm.value());
    }

    void cut(fake_daemon &daemon, const team_name &, unsigned) { daemon.cut = !daemon.cut; }

    void cutStore(fake_daemon &daemon, const team_name &, unsigned)
    {
        daemon.storeCut = !daemon.storeCut;
    }

    void storeDown(fake_daemon &, const team_name &, unsigned)
    {
        m_fleet.storeDown = !m_fleet.storeDown;
    }

    void loseAnswers(fake_daemon &, const team_name &, unsigned amount)
    {
        m_fleet.answersLost = amount % 2 == 0;
        m_fleet.storeDelay = (amount % 5) * 100ms;
    }

    [[nodiscard]] std::size_t alive() const
    {
        std::size_t count = 0;
        for (const auto &daemon : m_fleet.daemons)
            count += daemon->killed ? 0 : 1;
        return count;
    }

    static constexpr std::array<action, 22> commands{
        &fuzz_run::wait,      &fuzz_run::wait,       &fuzz_run::wait,     &fuzz_run::acquire,
        &fuzz_run::acquire,   &fuzz_run::demand,     &fuzz_run::gather,   &fuzz_run::gather,
        &fuzz_run::release,   &fuzz_run::demand,     &fuzz_run::waitLong, &fuzz_run::limit,
        &fuzz_run::network,   &fuzz_run::kill,       &fuzz_run::depart,   &fuzz_run::pause,
        &fuzz_run::resume,    &fuzz_run::restart,    &fuzz_run::doubled,  &fuzz_run::cut,
        &fuzz_run::storeDown, &fuzz_run::loseAnswers};

    rights_fleet m_fleet;
};

rc::Gen<std::vector<fuzz_command>> anyCommands()
{
    constexpr std::size_t commandsPerRun{1000};
    const auto command = rc::gen::build<fuzz_command>(
        rc::gen::set(&fuzz_command::kind, rc::gen::inRange(0U, 22U)),
        rc::gen::set(&fuzz_command::who, rc::gen::inRange(0U, 64U)),
        rc::gen::set(&fuzz_command::amount, rc::gen::inRange(0U, 256U)));
    return rc::gen::container<std::vector<fuzz_command>>(commandsPerRun, command);
}

class rights_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rights_fuzz_test);
    CPPUNIT_TEST(runningWorkStaysWithinTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void runningWorkStaysWithinTheLimit()
    {
        CPPUNIT_ASSERT(rc::check("running work stays within the limit", [] {
            fuzz_run run{*rc::gen::inRange(0U, 1000U)};
            for (const fuzz_command &command : *anyCommands())
                run.apply(command);
            run.settle();
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rights_fuzz_test);

} // namespace

void showValue(const fuzz_command &command, std::ostream &out)
{
    out << command.kind << '/' << command.who << '/' << command.amount;
}

} // namespace azurelb::test
