#include <support/fake_keyspace.hpp>

#include <azurelb/control/load_monitor.hpp>
#include <azurelb/control/order_gate.hpp>
#include <azurelb/keyspace/prefix_watcher.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>

namespace {

using namespace azurelb;
using azurelb::test::fake_keyspace;
using std::chrono::milliseconds;

constexpr milliseconds watchInterval{800};

/** The inputs are read every 0.8 s, and the lease is renewed, unless a test stops that. */
class order_gate_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_gate_test);
    CPPUNIT_TEST(recentInputsPermitAllOrders);
    CPPUNIT_TEST(silentWatchHoldsStarts);
    CPPUNIT_TEST(outageOfTheStoreDoesNotHoldStarts);
    CPPUNIT_TEST(failingWatchHoldsStartsWhileTheLeaseIsRenewed);
    CPPUNIT_TEST(unconfirmedLeaseHoldsStartsOnceTheStoreAnswers);
    CPPUNIT_TEST(heldUpAnswerEndsAnUnconfirmedLease);
    CPPUNIT_TEST(pauseHoldsStartsUntilTheInputsAreReadAgain);
    CPPUNIT_TEST(pauseDuringAnOutageHoldsStartsUntilAReadFailed);
    CPPUNIT_TEST(noOrderAfterTheLimitSinceTheLastRenewal);
    CPPUNIT_TEST(ordersForVmsNeedTheTermOfTheLease);
    CPPUNIT_TEST(inputIsNeverOutdatedWhileNothingChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    /** With bounds of 2 s and watches of 0.8 s, the age of the operators' documents passed 1.2 s in
        each round, and starts were held for half of the time. */
    void inputIsNeverOutdatedWhileNothingChanges()
    {
        constexpr milliseconds maxAge{1200};
        boost::asio::io_context loop;
        fake_keyspace store{loop};
        store.put("op/config", "1");
        prefix_watcher watcher{loop, store, "op/", watchWaitFor(maxAge), [](const keyspace_item &) {
                               }};
        watcher.start();
        loop.run_for(milliseconds{100});
        milliseconds oldest{0};
        for (int step = 0; step < 120; ++step) {
            loop.restart();
            loop.run_for(milliseconds{20});
            oldest =
                std::max<milliseconds>(oldest, boot_clock::now() - watcher.state().confirmedAt);
        }
        CPPUNIT_ASSERT(oldest < maxAge);
    }

    void recentInputsPermitAllOrders()
    {
        run(milliseconds{5000});
        for (const order_kind each :
             {order_kind::start, order_kind::renewal, order_kind::stop, order_kind::vm})
            CPPUNIT_ASSERT(m_gate.permits(each, m_now));
    }

    void silentWatchHoldsStarts()
    {
        m_readsJobs = false;
        run(milliseconds{1600});
        CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
        run(milliseconds{1000});
        CPPUNIT_ASSERT(m_gate.findOutdatedInput(order_kind::start, m_now) == order_input::jobs);
        CPPUNIT_ASSERT(m_gate.permits(order_kind::renewal, m_now));
        CPPUNIT_ASSERT(m_gate.permits(order_kind::stop, m_now));
    }

    void outageOfTheStoreDoesNotHoldStarts()
    {
        m_storeDown = true;
        for (int step = 0; step < 50; ++step) {
            run(milliseconds{100});
            CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
        }
    }

    void failingWatchHoldsStartsWhileTheLeaseIsRenewed()
    {
        run(milliseconds{800});
        m_readsJobs = false;
        m_jobs.failedAt = m_now;
        run(milliseconds{2600});
        m_jobs.failedAt = m_now;
        CPPUNIT_ASSERT(m_gate.findOutdatedInput(order_kind::start, m_now) == order_input::jobs);
    }

    /** The owner's zone was cut off, and another daemon has become owner. When the cut ends, the
        former one reads the jobs of its successor before it learns that it has lost the key: if it
        starts them, they run twice. */
    void unconfirmedLeaseHoldsStartsOnceTheStoreAnswers()
    {
        m_storeDown = true;
        run(milliseconds{4800});
        CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
        m_jobs = {m_now, std::nullopt};
        CPPUNIT_ASSERT(m_gate.findOutdatedInput(order_kind::start, m_now) == order_input::lease);
        CPPUNIT_ASSERT(m_gate.permits(order_kind::renewal, m_now));
        CPPUNIT_ASSERT(m_gate.permits(order_kind::stop, m_now));
        m_storeDown = false;
        run(milliseconds{50});
        CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
    }

    /** The request was sent while the lease was confirmed, and the cut has held up its answer. */
    void heldUpAnswerEndsAnUnconfirmedLease()
    {
        const boot_time sentAt = m_now + milliseconds{600};
        m_storeDown = true;
        run(milliseconds{2000});
        CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
        m_jobs = {sentAt, std::nullopt, m_now};
        CPPUNIT_ASSERT(m_gate.findOutdatedInput(order_kind::start, m_now) == order_input::lease);
    }

    void pauseHoldsStartsUntilTheInputsAreReadAgain()
    {
        run(milliseconds{800});
        pause(milliseconds{3000});
        // The calls that were in flight have timed out during the pause.
        for (read_state *const each : {&m_lease, &m_jobs, &m_executors, &m_operators})
            each->failedAt = each->confirmedAt + watchInterval;
        CPPUNIT_ASSERT(!m_gate.permits(order_kind::start, m_now));
        CPPUNIT_ASSERT(!m_gate.permits(order_kind::vm, m_now));
        run(milliseconds{100});
        CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
    }

    void pauseDuringAnOutageHoldsStartsUntilAReadFailed()
    {
        run(milliseconds{800});
        m_storeDown = true;
        pause(milliseconds{3000});
        CPPUNIT_ASSERT(!m_gate.permits(order_kind::start, m_now));
        run(milliseconds{100});
        CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
    }

    void noOrderAfterTheLimitSinceTheLastRenewal()
    {
        m_storeDown = true;
        run(milliseconds{6000});
        for (const order_kind each :
             {order_kind::start, order_kind::renewal, order_kind::stop, order_kind::vm})
            CPPUNIT_ASSERT(m_gate.findOutdatedInput(each, m_now) == order_input::lease);
    }

    void ordersForVmsNeedTheTermOfTheLease()
    {
        m_storeDown = true;
        run(milliseconds{1400});
        CPPUNIT_ASSERT(m_gate.permits(order_kind::vm, m_now));
        run(milliseconds{200});
        CPPUNIT_ASSERT(!m_gate.permits(order_kind::vm, m_now));
        CPPUNIT_ASSERT(m_gate.permits(order_kind::start, m_now));
    }

private:
    void run(milliseconds time)
    {
        constexpr milliseconds step{50};
        for (const boot_time end = m_now + time; m_now < end;) {
            m_now += step;
            m_gate.recordActivity(m_now);
            read(m_lease, true);
            read(m_jobs, m_readsJobs);
            read(m_executors, true);
            read(m_operators, true);
        }
    }

    void pause(milliseconds time) { m_now += time; }

    void read(read_state &input, bool answers) const
    {
        if (m_storeDown)
            input.failedAt = m_now;
        else if (answers)
            input = {m_now, std::nullopt};
    }

    boot_time m_now{std::chrono::seconds{1000}};
    bool m_storeDown{false};
    bool m_readsJobs{true};
    read_state m_lease{m_now, std::nullopt};
    read_state m_jobs{m_now, std::nullopt};
    read_state m_executors{m_now, std::nullopt};
    read_state m_operators{m_now, std::nullopt};
    order_gate m_gate{{},
                      {[this] { return m_lease; }, [this] { return m_jobs; },
                       [this] { return m_executors; },
                       [this] {
                           return m_operators;
                       }},
                      m_now};
};

class load_monitor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_monitor_test);
    CPPUNIT_TEST(singlePauseIsNoOverload);
    CPPUNIT_TEST(lateTicksAreAnOverload);
    CPPUNIT_TEST(blockedOrdersAreAnOverload);
    CPPUNIT_TEST_SUITE_END();

public:
    void singlePauseIsNoOverload()
    {
        tick(20, milliseconds{50}, false);
        tick(1, milliseconds{9000}, false);
        tick(20, milliseconds{50}, false);
        CPPUNIT_ASSERT(!m_monitor.isOverloaded());
        CPPUNIT_ASSERT_EQUAL(milliseconds{8950}.count(), m_monitor.takeMaxDelay().count());
        CPPUNIT_ASSERT_EQUAL(milliseconds{0}.count(), m_monitor.takeMaxDelay().count());
    }

    void lateTicksAreAnOverload()
    {
        tick(20, milliseconds{320}, false);
        CPPUNIT_ASSERT(m_monitor.isOverloaded());
    }

    void blockedOrdersAreAnOverload()
    {
        tick(10, milliseconds{50}, true);
        CPPUNIT_ASSERT(!m_monitor.isOverloaded());
        tick(10, milliseconds{50}, true);
        CPPUNIT_ASSERT(m_monitor.isOverloaded());
    }

private:
    void tick(int count, milliseconds interval, bool blocked)
    {
        for (int index = 0; index < count; ++index) {
            m_now += interval;
            m_monitor.recordTick(blocked, m_now);
        }
    }

    boot_time m_now{std::chrono::seconds{1000}};
    load_monitor m_monitor{load_monitor::options{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_gate_test);
CPPUNIT_TEST_SUITE_REGISTRATION(load_monitor_test);

} // namespace
