#include "support/running_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace azurelb;
using test::call;
using test::call_answer;
using test::running_fleet;

constexpr std::size_t maxBodyBytes{100'000};

test::fleet_options options()
{
    test::fleet_options made;
    made.daemonFlags = {"--body_bytes=" + std::to_string(maxBodyBytes)};
    return made;
}

void assertRefused(unsigned status, const call_answer &answer)
{
    CPPUNIT_ASSERT_EQUAL(status, answer.status());
    CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, answer.runStatus());
}

class end_to_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(end_to_end_test);
    CPPUNIT_TEST(everyDaemonServesValidAndRefusesInvalidRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyDaemonServesValidAndRefusesInvalidRequests()
    {
        running_fleet fleet{options()};
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            assertCompleteAnswer(fleet, index);
            assertRefusals(fleet, index);
        }
        assertNoRefusedRequestRan(fleet);
        assertWithdrawnKeyIsRefused(fleet);
    }

private:
    static void assertCompleteAnswer(running_fleet &fleet, std::size_t index)
    {
        constexpr std::size_t planBytes = 40'000;
        call plan = fleet.makeCall("plan");
        plan.body = std::string(planBytes, static_cast<char>('a' + index));
        const call_answer answer = fleet.send(index, plan);
        CPPUNIT_ASSERT_EQUAL(200U, answer.status());
        CPPUNIT_ASSERT(answer.response.body() == plan.body);
        call open = fleet.makeCall("open");
        open.key.clear();
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(index, open).status());
    }

    static void assertRefusals(running_fleet &fleet, std::size_t index)
    {
        call wrong = fleet.makeCall("plan", "refused");
        wrong.key += "0";
        assertRefused(401, fleet.send(index, wrong));
        wrong.key.clear();
        assertRefused(401, fleet.send(index, wrong));
        assertRefused(404, fleet.send(index, fleet.makeCall("none", "refused")));
        call large = fleet.makeCall("plan", "refused");
        large.body = std::string(maxBodyBytes + 1, 'x');
        assertRefused(413, fleet.send(index, large));
    }

    static void assertNoRefusedRequestRan(running_fleet &fleet)
    {
        CPPUNIT_ASSERT(!fleet.runs().contains("refused"));
    }

    static void assertWithdrawnKeyIsRefused(running_fleet &fleet)
    {
        wire::change withdrawal;
        withdrawal.set_withdraw_key("key-0");
        CPPUNIT_ASSERT_EQUAL(200U, fleet.change(0, withdrawal).status);
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            const auto refused = [&] {
                return fleet.send(index, fleet.makeCall("plan")).status() == 401;
            };
            CPPUNIT_ASSERT(test::eventually(refused));
            assertRefused(401, fleet.send(index, fleet.makeCall("plan", "refused")));
        }
        assertNoRefusedRequestRan(fleet);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(end_to_end_test);
