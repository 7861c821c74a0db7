#include "cluster_oracle.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

/** One random step; the meaning of first and second depends on the kind. */
struct command
{
    unsigned kind{};
    unsigned first{};
    unsigned second{};
    unsigned waitMs{};
};

std::ostream &operator<<(std::ostream &out, const command &each)
{
    return out << each.kind << '(' << each.first << ',' << each.second << ")+" << each.waitMs;
}

/** Runs commands on a simulated cluster and checks the oracle's invariants after every event. */
class history
{
public:
    history(std::size_t size, std::size_t expected)
        : m_cluster{size, expected, 100ms}
    {
        wait(1s);
    }

    void run(const command &each)
    {
        const step &chosen = steps[each.kind % steps.size()];
        const std::size_t slot = each.first % m_cluster.size();
        (this->*chosen)(slot, each.second);
        wait(std::chrono::milliseconds{each.waitMs});
    }

    /**
     * Ends all faults and checks that a change is then accepted and in force everywhere within 5 s.
     */
    void finish()
    {
        m_cluster.heal();
        wait(20s);
        const wire::change last = teamChange("last", "last");
        m_oracle.submit(0, last);
        wait(5s);
        RC_ASSERT(m_oracle.isCommitted("last"));
        for (std::size_t slot = 0; slot < m_cluster.size(); ++slot) {
            const auto &documents = *m_cluster.daemon(slot).documents;
            RC_ASSERT(documents.isConfirmed());
            RC_ASSERT(documents.config()->findTeam(team_name{"last"}) != nullptr);
        }
        m_oracle.checkStore();
    }

    /** Number of kinds of command. */
    static const unsigned commandKinds;

    [[nodiscard]] std::size_t countCommitted() const { return m_oracle.countCommitted(); }

private:
    using step = void (history::*)(std::size_t, unsigned);

    void wait(duration span)
    {
        m_cluster.time.advance(span, [this] { m_oracle.check(); });
        m_oracle.check();
    }

    [[nodiscard]] unsigned sideOf(std::size_t slot) const { return (m_sides >> slot) & 1U; }

    [[nodiscard]] bool runs(std::size_t slot)
    {
        return !m_cluster.daemon(slot).dead && !m_cluster.daemon(slot).paused;
    }

    [[nodiscard]] wire::change nextChange(unsigned number)
    {
        ++m_changes;
        return teamChange("c" + std::to_string(m_changes), "team-" + std::to_string(number % 3),
                          m_changes);
    }

    void submit(std::size_t slot, unsigned number)
    {
        if (runs(slot))
            m_oracle.submit(slot, nextChange(number));
    }

    void submitConcurrently(std::size_t slot, unsigned number)
    {
        submit(slot, number);
        submit((slot + 1) % m_cluster.size(), number);
    }

    void repeat(std::size_t slot, unsigned)
    {
        if (runs(slot))
            m_oracle.repeatUnknown(slot);
    }

    void writeFleet(std::size_t slot, unsigned)
    {
        if (runs(slot))
            m_oracle.writeFleet(slot);
    }

    void setStoreMode(std::size_t, unsigned number)
    {
        m_cluster.faults.mode = static_cast<store_mode>(number % 6);
    }

    void setStoreReachable(std::size_t slot, unsigned number)
    {
        m_cluster.daemon(slot).backend->setReachable(number % 3 == 0);
    }

    void cutOneWay(std::size_t slot, unsigned number)
    {
        m_cluster.cut(slot, number % m_cluster.size(), number % 4 != 0);
    }

    void isolate(std::size_t slot, unsigned)
    {
        for (std::size_t other = 0; other < m_cluster.size(); ++other) {
            m_cluster.cut(slot, other, true);
            m_cluster.cut(other, slot, true);
        }
    }

    /**
     * Partitions the network; the bits of the number select the sides and who reaches the store.
     */
    void split(std::size_t, unsigned number)
    {
        m_sides = number;
        for (std::size_t from = 0; from < m_cluster.size(); ++from) {
            for (std::size_t to = 0; to < m_cluster.size(); ++to)
                m_cluster.cut(from, to, sideOf(from) != sideOf(to));
            m_cluster.daemon(from).backend->setReachable(sideOf(from) == 0 || m_sides % 7 == 0);
        }
    }

    /** Replaces a process by one on the other side of the partition. */
    void replaceOnOtherSide(std::size_t slot, unsigned)
    {
        m_cluster.start(slot);
        split(slot, m_sides ^ (1U << slot));
    }

    /**
     * Partitions the network, submits a change on one side, then replaces a process of that side by
     * one on the other side.
     */
    void splitAndReplaceOnOtherSide(std::size_t slot, unsigned number)
    {
        split(slot, number);
        submit(slot, number);
        wait(std::chrono::milliseconds{number * 3});
        replaceOnOtherSide(slot == 0 ? 1 : 0, number);
    }

    void pause(std::size_t slot, unsigned) { m_cluster.daemon(slot).paused = runs(slot); }

    void resume(std::size_t slot, unsigned)
    {
        if (m_cluster.daemon(slot).paused) {
            m_cluster.daemon(slot).paused = false;
            m_oracle.check();
            m_cluster.resume(slot);
        }
    }

    void kill(std::size_t slot, unsigned) { m_cluster.kill(slot); }

    void restart(std::size_t slot, unsigned) { m_cluster.start(slot); }

    void replace(std::size_t slot, unsigned number)
    {
        resume(slot, number);
        m_cluster.replace(slot);
    }

    void setMessageFaults(std::size_t, unsigned number)
    {
        m_cluster.faults.lostPercent = number % 3 == 0 ? 30 : 0;
        m_cluster.faults.repeatedPercent = number % 5 == 0 ? 30 : 0;
        m_cluster.faults.latePercent = number % 4 == 0 ? 30 : 0;
    }

    void heal(std::size_t, unsigned) { m_cluster.heal(); }

    static constexpr std::array steps{
        &history::submit,
        &history::submit,
        &history::submit,
        &history::submitConcurrently,
        &history::submitConcurrently,
        &history::repeat,
        &history::repeat,
        &history::writeFleet,
        &history::setStoreMode,
        &history::setStoreMode,
        &history::setStoreReachable,
        &history::setStoreReachable,
        &history::cutOneWay,
        &history::isolate,
        &history::split,
        &history::split,
        &history::pause,
        &history::resume,
        &history::resume,
        &history::kill,
        &history::restart,
        &history::restart,
        &history::setMessageFaults,
        &history::heal,
        &history::heal,
        &history::heal,
        &history::replaceOnOtherSide,
        &history::splitAndReplaceOnOtherSide,
        &history::replace,
    };

    cluster_model m_cluster;
    cluster_oracle m_oracle{m_cluster};
    std::uint32_t m_changes{0};
    /** Side of the last partition that each slot is on, one bit each. */
    unsigned m_sides{0};
};

const unsigned history::commandKinds = steps.size();

rc::Gen<std::vector<command>> histories()
{
    const auto each = rc::gen::build<command>(
        rc::gen::set(&command::kind, rc::gen::inRange(0U, history::commandKinds)),
        rc::gen::set(&command::first, rc::gen::inRange(0U, 60U)),
        rc::gen::set(&command::second, rc::gen::inRange(0U, 128U)),
        rc::gen::set(&command::waitMs, rc::gen::inRange(0U, 700U)));
    constexpr int sizeFactor{50};
    return rc::gen::scale(sizeFactor, rc::gen::container<std::vector<command>>(each));
}

class cluster_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cluster_fuzz_test);
    CPPUNIT_TEST(invariantsHoldUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariantsHoldUnderFaults()
    {
        std::size_t commands = 0;
        std::size_t committed = 0;
        CPPUNIT_ASSERT(rc::check("documents stay recent, nothing accepted is lost", [&] {
            const std::vector<command> steps = *histories();
            history run{steps.size() % 2 == 0 ? 3U : 5U, steps.size() % 3 == 0 ? 5U : 3U};
            for (const command &each : steps)
                run.run(each);
            run.finish();
            commands += steps.size();
            committed += run.countCommitted();
        }));
        std::cerr << commands << " commands, " << committed << " changes accepted\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_fuzz_test);

} // namespace
