#include "change_samples.hpp"
#include "cluster_model.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace {

using namespace azurelb;
using namespace std::chrono_literals;

/** Figures under virtual time with 1.5 ms one way, printed and held to their bounds. */
class cluster_figures_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cluster_figures_test);
    CPPUNIT_TEST(storeCallsDoNotGrow);
    CPPUNIT_TEST(storeCallsStayFewWhileItIsDown);
    CPPUNIT_TEST(peersCarryAChangeInMilliseconds);
    CPPUNIT_TEST(storeAloneCarriesAChangeWithinThePeriod);
    CPPUNIT_TEST(confirmationStaysYoung);
    CPPUNIT_TEST_SUITE_END();

public:
    void storeCallsDoNotGrow()
    {
        for (const std::size_t size : {3U, 9U, 60U}) {
            begin(size);
            const std::uint64_t calls = countCalls();
            const std::uint64_t bytes = countBytes();
            m_cluster->time.advance(10s);
            const double perSecond = static_cast<double>(countCalls() - calls) / 10;
            const double bytesEach =
                static_cast<double>(countBytes() - bytes) / 10 / static_cast<double>(size);
            std::cerr << ' ' << size << " daemons: " << perSecond << " store calls a second, "
                      << bytesEach << " bytes a second each\n";
            CPPUNIT_ASSERT(perSecond <= 6);
        }
    }

    void storeCallsStayFewWhileItIsDown()
    {
        for (const std::size_t size : {3U, 9U, 60U}) {
            begin(size);
            m_cluster->faults.mode = store_mode::refusing;
            m_cluster->time.advance(10s);
            const std::uint64_t calls = countCalls();
            m_cluster->time.advance(20s);
            const double perSecond = static_cast<double>(countCalls() - calls) / 20;
            std::cerr << ' ' << size << " daemons, store down: " << perSecond
                      << " calls a second\n";
            CPPUNIT_ASSERT(perSecond <= 6);
        }
    }

    void peersCarryAChangeInMilliseconds()
    {
        for (const std::size_t size : {3U, 9U, 60U}) {
            begin(size);
            time_point toldAt{};
            m_cluster->daemon(0).documents->submit(
                teamChange("a", "choir"),
                [&](const change_outcome &) { toldAt = m_cluster->time.now(); });
            const auto [committed, everywhere] = spread();
            std::cerr << ' ' << size << " daemons: committed after " << committed
                      << " ms, in force everywhere after " << everywhere << " ms, told after "
                      << sinceBegin(toldAt) << " ms\n";
            CPPUNIT_ASSERT(everywhere < 5000);
        }
    }

    void storeAloneCarriesAChangeWithinThePeriod()
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
        const double everywhere = spread().second;
        std::cerr << " 3 daemons without peers: in force everywhere after " << everywhere
                  << " ms\n";
        CPPUNIT_ASSERT(everywhere < 5000);
    }

    void confirmationStaysYoung()
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

    std::uint64_t countCalls()
    {
        std::uint64_t calls = 0;
        for (std::size_t slot = 0; slot < m_cluster->size(); ++slot)
            calls += m_cluster->daemon(slot).backend->calls();
        return calls;
    }

    std::uint64_t countBytes()
    {
        std::uint64_t bytes = 0;
        for (std::size_t slot = 0; slot < m_cluster->size(); ++slot)
            bytes += m_cluster->daemon(slot).transport->sentBytes();
        return bytes;
    }

    [[nodiscard]] double sinceBegin(time_point at) const
    {
        return std::chrono::duration<double, std::milli>(at - m_begin).count();
    }

    /** Milliseconds until the first and until the last daemon has the change. */
    std::pair<double, double> spread()
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
            const double now = sinceBegin(m_cluster->time.now());
            first = having > 0 ? std::min(first, now) : first;
            last = having == m_cluster->size() ? std::min(last, now) : last;
        });
        return {first, last};
    }

    std::unique_ptr<cluster_model> m_cluster;
    time_point m_begin{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(cluster_figures_test);

} // namespace
