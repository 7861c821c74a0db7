#include "support/caller_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace {

using namespace azurelb;
using test::caller_load;
using test::load_record;
using test::running_fleet;
using wire::standin::fault;

constexpr std::size_t callers{8};
constexpr std::size_t executors{4};

struct named_fault
{
    std::string_view name;
    void (*set)(fault &);
};

constexpr named_fault faults[]{
    {"truncated",
     [](fault &wanted) {
         wanted.set_truncated(5);
     }},
    {"crossed",
     [](fault &wanted) {
         wanted.set_crossed(5);
     }},
    {"answer-lost",
     [](fault &wanted) {
         wanted.set_answer_lost(5);
     }},
    {"late",
     [](fault &wanted) {
         wanted.set_late_ms(700);
     }},
    {"reset",
     [](fault &wanted) {
         wanted.set_failing(wire::standin::FAILING_RESET);
     }},
    {"error",
     [](fault &wanted) {
         wanted.set_failing(wire::standin::FAILING_ERROR);
     }},
    {"silent",
     [](fault &wanted) {
         wanted.set_silent(true);
     }},
};

void setAll(test::standin_process &standin, const fault &wanted)
{
    for (std::size_t index = 0; index < executors; ++index)
        standin.setFault(wanted, index);
}

caller_load::request_factory requestsOf(const running_fleet &fleet, std::string queue,
                                        std::string prefix)
{
    return [&fleet, queue, prefix](std::size_t number) {
        constexpr std::chrono::milliseconds timeout{600};
        test::call made = fleet.makeCall(queue, prefix + "-" + std::to_string(number));
        made.timeout = timeout;
        return made;
    };
}

std::uint32_t count(const running_fleet::run_counts &runs, const std::string &id)
{
    const auto found = runs.find(id);
    return found == runs.end() ? 0 : found->second;
}

/** The outcome reported to the caller matches the run count of the executors. */
void assertReportedOutcome(const load_record &record, std::uint32_t runs)
{
    const std::string told = record.answer.runStatus();
    const std::string about = record.request.id + ' ' + record.answer.response.body();
    CPPUNIT_ASSERT_MESSAGE(about, record.answer.progress == test::call_progress::answered);
    if (record.answer.status() == 200)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(about, record.request.body, record.answer.response.body());
    if (record.answer.status() == 200 || told == "ran")
        CPPUNIT_ASSERT_MESSAGE(about, runs >= 1);
    if (told == "not-run")
        CPPUNIT_ASSERT_EQUAL_MESSAGE(about, 0U, runs);
}

class attempts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempts_test);
    CPPUNIT_TEST(ordersRunAtMostOnceWithCorrectOutcomes);
    CPPUNIT_TEST(plansAreAnsweredByAnotherExecutor);
    CPPUNIT_TEST(retriesStayWithinBudget);
    CPPUNIT_TEST(failingExecutorIsAvoidedUntilItRecovers);
    CPPUNIT_TEST(silentConnectionsAreReplaced);
    CPPUNIT_TEST(plansOnASilentExecutorAreAnsweredByAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    void ordersRunAtMostOnceWithCorrectOutcomes()
    {
        constexpr std::size_t requests = 24;
        running_fleet fleet;
        for (const named_fault &each : faults) {
            fault wanted;
            each.set(wanted);
            const std::string prefix{each.name};
            caller_load before{fleet, callers, requestsOf(fleet, "order", "b-" + prefix), callers};
            before.finish();
            setAll(fleet.executors(), wanted);
            caller_load load{fleet, callers, requestsOf(fleet, "order", prefix), requests};
            const auto records = load.finish();
            setAll(fleet.executors(), {});
            const auto runs = fleet.runs();
            for (const load_record &record : records) {
                const std::uint32_t ran = count(runs, record.request.id);
                CPPUNIT_ASSERT_MESSAGE(record.request.id, ran <= 1);
                assertReportedOutcome(record, ran);
            }
            waitUntilServing(fleet);
        }
    }

    void plansAreAnsweredByAnotherExecutor()
    {
        constexpr std::size_t requests = 40;
        for (const named_fault &each : {faults[0], faults[1], faults[2]}) {
            running_fleet fleet;
            caller_load before{fleet, callers, requestsOf(fleet, "plan", "before"), requests};
            before.finish();
            fault wanted;
            each.set(wanted);
            fleet.executors().setFault(wanted, 0);
            caller_load load{fleet, callers, requestsOf(fleet, "plan", "plan"), requests};
            for (const load_record &record : load.finish()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(record.answer.response.body(), 200U,
                                             record.answer.status());
                CPPUNIT_ASSERT_EQUAL(record.request.body, record.answer.response.body());
            }
        }
    }

    // Other clients occupy all slots, so that every attempt is refused. The retry budget is a tenth
    // of the requests plus a burst of ten per daemon.
    void retriesStayWithinBudget()
    {
        constexpr std::size_t requests = 200;
        constexpr std::size_t burst = 10;
        running_fleet fleet;
        const auto directClients = occupyAllSlots(fleet);
        caller_load load{fleet, callers, requestsOf(fleet, "plan", "plan"), requests};
        load.finish();
        std::size_t attempts = 0;
        for (std::size_t index = 0; index < executors; ++index)
            attempts += fleet.executors().status(index).refused();
        CPPUNIT_ASSERT(attempts > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(attempts),
                               attempts <= requests + requests / 10 + burst * fleet.size());
    }

    void failingExecutorIsAvoidedUntilItRecovers()
    {
        constexpr std::size_t requestsPerStep = 300;
        running_fleet fleet;
        caller_load load{fleet, callers, requestsOf(fleet, "plan", "plan")};
        CPPUNIT_ASSERT(load.waitForServed(requestsPerStep));
        fault wanted;
        wanted.set_failing(wire::standin::FAILING_RESET);
        fleet.executors().setFault(wanted, 0);
        CPPUNIT_ASSERT(test::eventually([&] {
            const std::uint32_t before = fleet.executors().status(0).requests();
            const bool served = load.waitForServed(requestsPerStep);
            return served && fleet.executors().status(0).requests() - before < requestsPerStep / 30;
        }));
        fleet.executors().clearFault(0);
        const std::uint32_t failed = fleet.executors().status(0).requests();
        CPPUNIT_ASSERT(test::eventually(
            [&] { return fleet.executors().status(0).requests() > failed + requestsPerStep; }));
    }

    // All idle connections stop responding; requests over new connections are answered.
    void silentConnectionsAreReplaced()
    {
        test::fleet_options options;
        options.forwarders = true;
        running_fleet fleet{options};
        caller_load before{fleet, callers, requestsOf(fleet, "order", "before"), 3 * callers};
        before.finish();
        for (std::size_t index = 0; index < executors; ++index) {
            fault wanted;
            wanted.set_cut(wire::standin::CUT_SILENT_OLD);
            fleet.forwarder(index).setFault(wanted);
        }
        caller_load load{fleet, callers, requestsOf(fleet, "order", "order"), 3 * callers};
        const auto records = load.finish();
        const auto runs = fleet.runs();
        for (const load_record &record : records)
            assertReportedOutcome(record, count(runs, record.request.id));
        waitUntilServing(fleet);
    }

    // The executor accepts requests but never answers; its connections stay open.
    void plansOnASilentExecutorAreAnsweredByAnother()
    {
        running_fleet fleet;
        fault silent;
        silent.set_silent(true);
        fleet.executors().setFault(silent, 0);
        caller_load load{fleet, callers, requestsOf(fleet, "plan", "plan"), callers};
        for (const load_record &record : load.finish())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(record.answer.response.body(), 200U,
                                         record.answer.status());
    }

private:
    using client_list = std::vector<std::unique_ptr<test::caller_client>>;

    static client_list occupyAllSlots(running_fleet &fleet)
    {
        constexpr std::uint32_t slots = 8;
        client_list clients;
        for (std::size_t index = 0; index < executors * slots; ++index) {
            test::call request = fleet.makeCall("plan");
            request.runDuration = test::defaultWaitLimit;
            const auto &server = fleet.executors().address(index % executors);
            clients.push_back(std::make_unique<test::caller_client>(server));
            CPPUNIT_ASSERT(clients.back()->sendWithoutWaiting(request));
        }
        CPPUNIT_ASSERT(test::eventually([&] { return fleet.running() == executors * slots; }));
        return clients;
    }

    static void waitUntilServing(const running_fleet &fleet)
    {
        for (std::size_t index = 0; index < fleet.size(); ++index)
            CPPUNIT_ASSERT(test::eventually(
                [&] { return fleet.send(index, fleet.makeCall("order")).status() == 200; }));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(attempts_test);
