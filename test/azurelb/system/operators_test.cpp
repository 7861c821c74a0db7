#include "support/running_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <thread>

namespace {

using namespace azurelb;
using test::child_process;
using test::running_fleet;

class operators_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operators_test);
    CPPUNIT_TEST(oneOfTwoRacingChangesWins);
    CPPUNIT_TEST(secretsAreNotLogged);
    CPPUNIT_TEST(allInvalidSettingsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneOfTwoRacingChangesWins()
    {
        constexpr std::uint64_t teamGeneration = 5;
        running_fleet fleet;
        std::array<wire::change, 2> wanted;
        std::array<test::operator_answer, 2> answers;
        for (std::size_t index = 0; index < wanted.size(); ++index) {
            wanted[index].set_id("race-" + std::to_string(index));
            wanted[index].set_expected_generation(teamGeneration);
            wanted[index].mutable_put_team()->set_name("lecco");
            wanted[index].mutable_put_team()->set_share(1);
            wanted[index].mutable_put_team()->set_limit(20 + static_cast<unsigned>(index));
        }
        std::thread other{[&] {
            answers[1] = fleet.change(1, wanted[1]);
        }};
        answers[0] = fleet.change(0, wanted[0]);
        other.join();
        const bool firstWon = answers[0].status == 200;
        const auto &winner = answers[firstWon ? 0 : 1];
        const auto &loser = answers[firstWon ? 1 : 0];
        CPPUNIT_ASSERT_EQUAL_MESSAGE(winner.body, 200U, winner.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(loser.body, 409U, loser.status);
        CPPUNIT_ASSERT_MESSAGE(loser.body, loser.body.find("not-run") != std::string::npos);
        const std::string limit = firstWon ? "20" : "21";
        CPPUNIT_ASSERT_MESSAGE(loser.body, loser.body.find(limit) != std::string::npos);
    }

    void secretsAreNotLogged()
    {
        test::fleet_options options;
        options.daemonFlags = {"--log_level=debug"};
        running_fleet fleet{options};
        test::call request = fleet.makeCall("plan");
        request.body = "body-of-a-request";
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, request).status());
        request.key = "alb-wrong-key-of-a-request";
        CPPUNIT_ASSERT_EQUAL(401U, fleet.send(0, request).status());
        const auto lines = fleet.daemon(0).lines();
        CPPUNIT_ASSERT(!lines.empty());
        for (const std::string &secret :
             {fleet.key(), fleet.operatorToken(), request.body, request.key}) {
            for (const std::string &line : lines)
                CPPUNIT_ASSERT_MESSAGE(line, line.find(secret) == std::string::npos);
        }
    }

    void allInvalidSettingsAreReported()
    {
        child_process daemon{test::builtProgram("azurelbd"),
                             {"--vm_id=Not_A_Name", "--zone=", "--listen=nowhere",
                              "--operator_listen=127.0.0.1:99999", "--peer_listen=1",
                              "--store_endpoints=x", "--platform_endpoint=y", "--entry_vms=100",
                              "--log_level=loud", "--peers=z"},
                             {"AZURELB_OPERATOR_TOKENS=anna:short"}};
        constexpr int wrongSettings = 2;
        CPPUNIT_ASSERT_EQUAL(wrongSettings, daemon.waitForExit());
        for (const std::string setting :
             {"vm_id", "zone", "listen", "operator_listen", "peer_listen", "store_endpoints",
              "platform_endpoint", "entry_vms", "log_level", "peers", "operator_tokens_file"})
            CPPUNIT_ASSERT(names(daemon, "--" + setting + " is '"));
        for (const std::string &line : daemon.lines())
            CPPUNIT_ASSERT_MESSAGE(line, line.find("short") == std::string::npos);
    }

private:
    static bool names(child_process &daemon, const std::string &start)
    {
        return test::eventually([&] {
            const auto lines = daemon.lines();
            return std::any_of(lines.begin(), lines.end(), [&start](const std::string &line) {
                return line.find(start) != std::string::npos
                    && line.find("allowed: ") != std::string::npos;
            });
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(operators_test);
