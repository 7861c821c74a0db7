#include <azurelb/config/virtual_time.hpp>
#include <azurelb/membership/failure_detector.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <random>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

constexpr std::size_t slots{4};

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

/**
 * Simulated processes that exchange heartbeats. Records when each process could last send to each
 * other one, and checks that no member is fresh unless both directions worked a short time ago.
 */
class history
{
    struct process
    {
        explicit process(member self)
            : table{std::move(self), {}}
        { }

        failure_detector table;
        bool paused{false};
        bool leaving{false};
    };

    using process_ptr = std::shared_ptr<process>;
    using step = void (history::*)(std::size_t, std::size_t);

public:
    static const unsigned commandKinds;

    history()
    {
        for (std::size_t slot = 0; slot < slots; ++slot)
            start(slot, 0);
        sendRound();
    }

    void run(const command &each)
    {
        (this->*steps[each.kind % steps.size()])(each.first % slots, each.second % slots);
        m_time.advance(std::chrono::milliseconds{each.waitMs}, [this] { check(); });
    }

    /** Ends all faults and checks that every process sees all others. */
    void finish()
    {
        m_cut = {};
        m_delaying = m_lossy = m_duplicating = false;
        for (std::size_t slot = 0; slot < slots; ++slot) {
            if (!m_processes[slot] || m_processes[slot]->leaving)
                start(slot, 0);
            m_processes[slot]->paused = false;
        }
        m_time.advance(6s, [this] { check(); });
        for (const process_ptr &each : m_processes)
            RC_ASSERT(each->table.freshMembers(m_time.now()).size() == slots);
    }

private:
    void start(std::size_t slot, std::size_t)
    {
        const vm_id vm{"vm-" + std::to_string(slot)};
        m_processes[slot] = std::make_shared<process>(member{vm, incarnation{++m_started}});
        std::vector<vm_id> peers;
        for (std::size_t other = 0; other < slots; ++other)
            peers.emplace_back("vm-" + std::to_string(other));
        m_processes[slot]->table.setPeers(peers, m_time.now());
        for (std::size_t other = 0; other < slots; ++other)
            m_lastSendAt[slot][other] = {};
    }

    void kill(std::size_t slot, std::size_t) { m_processes[slot] = nullptr; }

    void pause(std::size_t slot, std::size_t)
    {
        if (m_processes[slot])
            m_processes[slot]->paused = true;
    }

    void resume(std::size_t slot, std::size_t)
    {
        if (m_processes[slot])
            m_processes[slot]->paused = false;
    }

    void leave(std::size_t slot, std::size_t)
    {
        if (!m_processes[slot])
            return;
        m_processes[slot]->leaving = true;
        m_processes[slot]->table.leave();
    }

    void cut(std::size_t from, std::size_t to) { m_cut[from][to] = true; }

    void reconnect(std::size_t from, std::size_t to) { m_cut[from][to] = m_cut[to][from] = false; }

    void setMessageFaults(std::size_t first, std::size_t second)
    {
        m_lossy = first % 2 == 0;
        m_delaying = second % 2 == 0;
        m_duplicating = first > 1;
    }

    void wait(std::size_t, std::size_t) { }

    /** Sends a round of heartbeats from every process, and records who could send to whom. */
    void sendRound()
    {
        for (std::size_t from = 0; from < slots; ++from) {
            if (m_processes[from] && !m_processes[from]->paused)
                sendAll(from);
        }
        m_time.after(250ms, [this] { sendRound(); });
    }

    void sendAll(std::size_t from)
    {
        failure_detector &table = m_processes[from]->table;
        table.beginRound(m_time.now());
        for (std::size_t to = 0; to < slots; ++to) {
            if (from == to || m_cut[from][to])
                continue;
            m_lastSendAt[from][to] = m_time.now();
            transmit(from, to, table.composeHeartbeat(vm_id{"vm-" + std::to_string(to)}));
        }
    }

    void transmit(std::size_t from, std::size_t to, const wire::heartbeat &heartbeat)
    {
        const member sender = m_processes[from]->table.self();
        if (m_lossy && m_random() % 3 == 0)
            return;
        for (int copy = 0; copy < (m_duplicating ? 2 : 1); ++copy) {
            const auto delay = m_delaying ? std::chrono::milliseconds{m_random() % 3000} : 2ms;
            m_time.after(delay, [this, sender, to, heartbeat, sentAt = m_time.now()] {
                deliver(sender, to, heartbeat, sentAt);
            });
        }
    }

    void deliver(const member &sender, std::size_t to, const wire::heartbeat &heartbeat,
                 time_point sentAt)
    {
        const process_ptr receiver = m_processes[to];
        if (!receiver || receiver->paused)
            return;
        const auto echoedSentAt = receiver->table.receiveHeartbeat(sender, heartbeat, m_time.now());
        RC_ASSERT(!echoedSentAt || *echoedSentAt <= sentAt);
    }

    void check()
    {
        for (std::size_t observer = 0; observer < slots; ++observer) {
            if (m_processes[observer] && !m_processes[observer]->paused)
                checkView(observer);
        }
    }

    void checkView(std::size_t observer)
    {
        const time_point now = m_time.now();
        for (const member &each : m_processes[observer]->table.freshMembers(now)) {
            const auto slot = static_cast<std::size_t>(each.vm.value().back() - '0');
            if (slot == observer)
                continue;
            const bool current = m_processes[slot] && m_processes[slot]->table.self() == each;
            RC_ASSERT(!current || now - m_lastSendAt[observer][slot] <= 800ms);
            RC_ASSERT(!current || now - m_lastSendAt[slot][observer] <= 800ms);
        }
    }

    static constexpr std::array steps{
        &history::start,
        &history::kill,
        &history::pause,
        &history::resume,
        &history::leave,
        &history::cut,
        &history::cut,
        &history::reconnect,
        &history::reconnect,
        &history::wait,
        &history::setMessageFaults,
        &history::start,
        &history::start,
        &history::reconnect,
    };

    virtual_time m_time{};
    std::minstd_rand m_random{1};
    std::uint64_t m_started{0};
    std::array<process_ptr, slots> m_processes{};
    std::array<std::array<bool, slots>, slots> m_cut{};
    std::array<std::array<time_point, slots>, slots> m_lastSendAt{};
    bool m_delaying{false};
    bool m_lossy{false};
    bool m_duplicating{false};
};

const unsigned history::commandKinds = steps.size();

rc::Gen<std::vector<command>> histories()
{
    const auto each = rc::gen::build<command>(
        rc::gen::set(&command::kind, rc::gen::inRange(0U, history::commandKinds)),
        rc::gen::set(&command::first, rc::gen::inRange(0U, 4U)),
        rc::gen::set(&command::second, rc::gen::inRange(0U, 4U)),
        rc::gen::set(&command::waitMs, rc::gen::inRange(0U, 900U)));
    constexpr int sizeFactor{50};
    return rc::gen::scale(sizeFactor, rc::gen::container<std::vector<command>>(each));
}

class failure_detector_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_detector_fuzz_test);
    CPPUNIT_TEST(freshMembersHaveBothDirections);
    CPPUNIT_TEST_SUITE_END();

public:
    void freshMembersHaveBothDirections()
    {
        std::size_t commands = 0;
        CPPUNIT_ASSERT(
            rc::check("fresh members received and echoed a heartbeat a short time ago", [&] {
                const std::vector<command> steps = *histories();
                history run;
                for (const command &each : steps)
                    run.run(each);
                run.finish();
                commands += steps.size();
            }));
        std::cerr << commands << " commands\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_detector_fuzz_test);

} // namespace
