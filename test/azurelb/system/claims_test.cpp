#include "support/running_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace {

using namespace azurelb;
using test::running_fleet;
using wire::standin::fault;
using namespace std::chrono_literals;

class claims_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_test);
    CPPUNIT_TEST(repeatThroughAnotherDaemonGetsTheSameAnswer);
    CPPUNIT_TEST(concurrentRepeatsRunOnce);
    CPPUNIT_TEST(lostStoreRepliesCauseNoSecondRun);
    CPPUNIT_TEST(requestOfUnknownOutcomeIsNotRunAgain);
    CPPUNIT_TEST(requestThatDidNotRunMayBeRepeated);
    CPPUNIT_TEST(keyOfAnotherRequestIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatThroughAnotherDaemonGetsTheSameAnswer()
    {
        const test::call order = orderOf("k-1");
        const auto first = m_fleet.send(0, order);
        const auto second = m_fleet.send(1, order);
        CPPUNIT_ASSERT_EQUAL(200U, first.status());
        CPPUNIT_ASSERT_EQUAL(200U, second.status());
        CPPUNIT_ASSERT_EQUAL(first.response.body(), second.response.body());
        CPPUNIT_ASSERT_EQUAL(1U, runsOf(order));
    }

    void concurrentRepeatsRunOnce()
    {
        test::call order = orderOf("k-2");
        order.runDuration = 300ms;
        unsigned served = 0;
        unsigned wrongAnswers = 0;
        std::vector<std::thread> callers;
        std::mutex mutex;
        for (std::size_t index = 0; index < 6; ++index) {
            callers.emplace_back([&, index] {
                const auto answer = m_fleet.send(index % 2, order);
                const std::lock_guard lock{mutex};
                served += answer.status() == 200 ? 1 : 0;
                wrongAnswers += answer.status() != 200 && answer.runStatus() != "unknown" ? 1 : 0;
            });
        }
        for (std::thread &each : callers)
            each.join();
        CPPUNIT_ASSERT(served >= 1);
        CPPUNIT_ASSERT_EQUAL(0U, wrongAnswers);
        CPPUNIT_ASSERT_EQUAL(1U, runsOf(order));
    }

    void lostStoreRepliesCauseNoSecondRun()
    {
        for (int round = 0; round < 5; ++round) {
            const test::call order = orderOf("k-lost-" + std::to_string(round));
            fault lost;
            lost.set_answer_lost(2);
            m_fleet.store().setFault(lost);
            (void)m_fleet.send(0, order);
            (void)m_fleet.send(1, order);
            m_fleet.store().clearFault();
            CPPUNIT_ASSERT(test::eventually([&] {
                const auto answer = m_fleet.send(1, order);
                return answer.status() == 200 || answer.runStatus() == "unknown";
            }));
            CPPUNIT_ASSERT(runsOf(order) <= 1);
        }
    }

    void requestOfUnknownOutcomeIsNotRunAgain()
    {
        const test::call order = orderOf("k-cut");
        fault reset;
        reset.set_failing(wire::standin::FAILING_RESET);
        setAll(reset);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, m_fleet.send(0, order).runStatus());
        setAll({});
        for (std::size_t daemon = 0; daemon < m_fleet.size(); ++daemon)
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, m_fleet.send(daemon, order).runStatus());
        CPPUNIT_ASSERT_EQUAL(1U, runsOf(order));
    }

    void requestThatDidNotRunMayBeRepeated()
    {
        const test::call order = orderOf("k-refused");
        fault down;
        down.set_down(true);
        setAll(down);
        const auto refused = m_fleet.send(0, order);
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, refused.runStatus());
        setAll({});
        CPPUNIT_ASSERT(test::eventually([&] { return m_fleet.send(1, order).status() == 200; }));
        CPPUNIT_ASSERT_EQUAL(1U, runsOf(order));
    }

    void keyOfAnotherRequestIsRefused()
    {
        test::call order = orderOf("k-3");
        CPPUNIT_ASSERT_EQUAL(200U, m_fleet.send(0, order).status());
        order.body = R"({"reeds":2})";
        const auto refused = m_fleet.send(1, order);
        CPPUNIT_ASSERT_EQUAL(422U, refused.status());
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, refused.runStatus());
        CPPUNIT_ASSERT_EQUAL(1U, runsOf(order));
    }

private:
    [[nodiscard]] test::call orderOf(const std::string &key) const
    {
        test::call made = m_fleet.makeCall("order", key);
        made.idempotencyKey = key;
        made.timeout = 5000ms;
        return made;
    }

    [[nodiscard]] std::uint32_t runsOf(const test::call &request)
    {
        const auto runs = m_fleet.runs();
        const auto found = runs.find(request.id);
        return found == runs.end() ? 0 : found->second;
    }

    void setAll(const fault &wanted)
    {
        for (std::size_t index = 0; index < m_fleet.executors().addresses().size(); ++index)
            m_fleet.executors().setFault(wanted, index);
    }

    running_fleet m_fleet{};
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(claims_test);
