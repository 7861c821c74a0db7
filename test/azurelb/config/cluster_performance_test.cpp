#include "change_samples.hpp"
#include "cluster_model.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

/**
 * Measures the simulated cluster in virtual time with 1.5 ms one-way latency, prints the figures
 * and checks their limits.
 */
class cluster_performance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cluster_performance_test);
    CPPUNIT_TEST(storeCallRateIsIndependentOfClusterSize);
    CPPUNIT_TEST(storeCallRateIsBoundedWhileStoreIsDown);
    CPPUNIT_TEST(changeReachesAllDaemonsThroughPeers);
    CPPUNIT_TEST(changeReachesAllDaemonsThroughStoreAlone);
    CPPUNIT_TEST(healthyClusterStaysConfirmed);
    CPPUNIT_TEST_SUITE_END();

public:
    void storeCallRateIsIndependentOfClusterSize()
    {
        for (const std::size_t size : {3U, 9U, 60U}) {
            begin(size);
            const std::uint64_t calls = countStoreCalls();
            const std::uint64_t bytes = countSentBytes();
            m_cluster->time.advance(10s);
            const double perSecond = static_cast<double>(countStoreCalls() - calls) / 10;
            const double bytesEach =
                static_cast<double>(countSentBytes() - bytes) / 10 / static_cast<double>(size);
            std::cerr << ' ' << size << " daemons: " << perSecond << " store calls a second, "
                      << bytesEach << " bytes a second each\n";
            CPPUNIT_ASSERT(perSecond <= 6);
        }
    }

    void storeCallRateIsBoundedWhileStoreIsDown()
    {
        for (const std::size_t size : {3U, 9U, 60U}) {
            begin(size);
            m_cluster->faults.mode = store_mode::refusing;
            m_cluster->time.advance(10s);
            const std::uint64_t calls = countStoreCalls();
            m_cluster->time.advance(20s);
            const double perSecond = static_cast<double>(countStoreCalls() - calls) / 20;
            std::cerr << ' ' << size << " daemons, store down: " << perSecond
                      << " calls a second\n";
            CPPUNIT_ASSERT(perSecond <= 6);
        }
    }

    void changeReachesAllDaemonsThroughPeers()
    {
        for (const std::size_t size : {3U, 9U, 60U}) {
            begin(size);
            time_point reportedAt{};
            m_cluster->daemon(0).documents->submit(
                teamChange("a", "choir"),
                [&](const change_outcome &) { reportedAt = m_cluster->time.now(); });
            const auto [committed, everywhere] = propagationTimes();
            std::cerr << ' ' << size << " daemons: committed after " << committed
                      << " ms, in force everywhere after " << everywhere << " ms, reported after "
                      << msSinceBegin(reportedAt) << " ms\n";
            CPPUNIT_ASSERT(everywhere < 5000);
        }
    }

    void changeReachesAllDaemonsThroughStoreAlone()
    {
        begin(3);
        for (std::size_t from = 0; from < 3; ++from) {
            for (std::size_t to = 0; to < 3; ++to)
                m_cluster->cut(from, to, true);
        }
        m_cluster->time.advance(5s);
        m_begin = m_cluster->time.now();
        m_cluster->daemon(0).documents->submit(teamChange("a", "choir"),
                                               [](const change_outcome &) {});
        const double everywhere = propagationTimes().second;
        std::cerr << " 3 daemons without peers: in force everywhere after " << everywhere
                  << " ms\n";
        CPPUNIT_ASSERT(everywhere < 5000);
    }

    void healthyClusterStaysConfirmed()
    {
        begin(9);
        std::size_t unconfirmed = 0;
        m_cluster->time.advance(60s, [&] {
            for (std::size_t slot = 0; slot < 9; ++slot)
                unconfirmed += m_cluster->daemon(slot).documents->isConfirmed() ? 0 : 1;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unconfirmed);
    }

private:
    void begin(std::size_t size)
    {
        m_cluster = std::make_unique<cluster_model>(size, size, 50ms);
        m_cluster->time.advance(5s);
        m_begin = m_cluster->time.now();
    }

    std::uint64_t countStoreCalls()
    {
        std::uint64_t calls = 0;
        for (std::size_t slot = 0; slot < m_cluster->size(); ++slot)
            calls += m_cluster->daemon(slot).backend->calls();
        return calls;
    }

    std::uint64_t countSentBytes()
    {
        std::uint64_t bytes = 0;
        for (std::size_t slot = 0; slot < m_cluster->size(); ++slot)
            bytes += m_cluster->daemon(slot).transport->sentBytes();
        return bytes;
    }

    [[nodiscard]] double msSinceBegin(time_point at) const
    {
        return std::chrono::duration<double, std::milli>(at - m_begin).count();
    }

    /** Milliseconds until the first and until the last daemon has the change. */
    std::pair<double, double> propagationTimes()
    {
        const double never = 60'000;
        double first = never;
        double last = never;
        m_cluster->time.advance(2s, [&] {
            std::size_t having = 0;
            for (std::size_t slot = 0; slot < m_cluster->size(); ++slot) {
                const auto config = m_cluster->daemon(slot).documents->config();
                having += config->findTeam(team_name{"choir"}) ? 1 : 0;
            }
            const double now = msSinceBegin(m_cluster->time.now());
            first = having > 0 ? std::min(first, now) : first;
            last = having == m_cluster->size() ? std::min(last, now) : last;
        });
        return {first, last};
    }

    std::unique_ptr<cluster_model> m_cluster;
    time_point m_begin{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_performance_test);

} // namespace
