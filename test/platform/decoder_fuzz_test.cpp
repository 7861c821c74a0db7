#include <support/reserved_port.hpp>
#include <support/run_until.hpp>

#include <azurelb/control/vm_service.hpp>
#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/http_server.hpp>
#include <azurelb/http/problem_response.hpp>
#include <platform/executor_client.hpp>
#include <platform/messages.hpp>
#include <platform/store_client.hpp>
#include <platform/vm_client.hpp>

#include <boost/json.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <string>

namespace {

using namespace azurelb;
using namespace azurelb::platform;
using namespace azurelb::test;
using std::chrono::milliseconds;

namespace json = boost::json;
namespace http = boost::beast::http;

constexpr std::int64_t largestAmount{1'000'000'000};

constexpr char configText[]{
    R"({"Version":7,"Routes":[{"Name":"r1","Host":"h","Prefix":"/a/","TargetDurationMs":600,)"
    R"("Service":"p1","Attempts":2,"Stretch":1.6,"Priority":1,"Anonymous":false,"Advice":null}],)"
    R"("Services":[{"Name":"p1"},{"Name":"p2","Standby":true}],"Limits":{"MaxBodyBytes":1000},)"
    R"("Tenants":[{"Name":"t1","ApiKeys":["k1"],"Weight":65,"MaxCount":{"Cpu":3000}}]})"};
constexpr char waveText[]{R"({"Wave":3,"Machines":["m1","m2"],"DeadlineS":27.5,"MaxCount":2})"};
constexpr char executorText[]{
    R"({"Service":"p1","Address":"10.1.0.9:80","Zone":"z","State":"ready","born":5,)"
    R"("RemainingMs":10,"FreeCapacity":{"Cpu":16000,"MemMb":32768},"Labels":["a"],"Machine":"m"})"};
constexpr char submissionText[]{
    R"({"Spec":"s","Repeats":2,"FirstRunMs":1000,"IntervalMs":500,"Phases":[{"Count":4,"Cpu":500,)"
    R"("MemMb":256,"EstimateMs":900,"AntiAffinity":2,"MayMiss":1,"TargetMs":20},)"
    R"({"Count":20,"Cpu":2000,"After":[0],"Checkpointing":true,"Gang":true}]})"};
constexpr char reportText[]{
    R"({"ClockMs":482113,"born":77,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,12]],)"
    R"("EndedRuns":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"};
constexpr char rangeText[]{
    R"({"items":[{"Key":"a/b","Value":"aGk=","Revision":4,"Created":3,"Lease":0}],)"
    R"("HasMore":false,"CurrentRev":9})"};
constexpr char itemText[]{R"({"Key":"a/b","Value":"aGk=","Revision":4,"CurrentRev":9})"};
constexpr char changesText[]{
    R"({"events":[{"Key":"a/b","Revision":4,"Deleted":true}],"CurrentRev":9})"};
constexpr char commitText[]{R"({"Revision":12,"items":[{"Key":"a/b","Revision":0}]})"};
constexpr char leaseText[]{R"({"Lease":5,"TtlMs":1500})"};
constexpr char listText[]{
    R"({"Machines":[{"Machine":"m1","Pool":"p","State":"up","Zone":"z","Labels":["a"],)"
    R"("FreeCapacity":{"Cpu":64000},"Id":"i1"}],"NextToken":""})"};

/** Values that senders of malformed messages put in place of others. */
json::value makeStrayValue(unsigned choice)
{
    switch (choice % 11) {
    case 0:
        return nullptr;
    case 1:
        return true;
    case 2:
        return -1;
    case 3:
        return std::numeric_limits<std::int64_t>::min();
    case 4:
        return std::numeric_limits<std::int64_t>::max();
    case 5:
        return std::numeric_limits<std::uint64_t>::max();
    case 6:
        return 1e300;
    case 7:
        return -0.5;
    case 8:
        return json::string(5000, 'x');
    case 9:
        return json::array{json::array{}, -1};
    default:
        return json::object{{"Cpu", -1}};
    }
}

/** Counts the values within a value, itself included. */
std::size_t countValues(const json::value &in)
{
    std::size_t count = 1;
    if (const json::object *const object = in.if_object()) {
        for (const auto &[name, each] : *object)
            count += countValues(each);
    } else if (const json::array *const array = in.if_array()) {
        for (const json::value &each : *array)
            count += countValues(each);
    }
    return count;
}

/** Replaces the value at the position in depth-first order; position is counted down. */
void replaceValue(json::value &in, std::size_t &position, const json::value &with)
{
    if (position == 0) {
        in = with;
        position = std::numeric_limits<std::size_t>::max();
        return;
    }
    --position;
    if (json::object *const object = in.if_object()) {
        for (auto &member : *object)
            replaceValue(member.value(), position, with);
    } else if (json::array *const array = in.if_array()) {
        for (json::value &each : *array)
            replaceValue(each, position, with);
    }
}

/** Returns the message with some values replaced, and sometimes cut off or with a damaged byte. */
std::string damage(const std::string &text)
{
    json::value message = json::parse(text);
    const unsigned replaced = *rc::gen::inRange(0U, 3U);
    for (unsigned index = 0; index < replaced; ++index) {
        std::size_t position = *rc::gen::inRange<std::size_t>(0, countValues(message));
        replaceValue(message, position, makeStrayValue(*rc::gen::inRange(0U, 11U)));
    }
    std::string out = json::serialize(message);
    if (*rc::gen::inRange(0, 4) == 0)
        out.resize(*rc::gen::inRange<std::size_t>(0, out.size() + 1));
    if (!out.empty() && *rc::gen::inRange(0, 4) == 0)
        out[*rc::gen::inRange<std::size_t>(0, out.size())] = *rc::gen::arbitrary<char>();
    return out;
}

bool isInRange(const resources &amount)
{
    const std::array parts{amount.cpu, amount.memory, amount.accelerators};
    return std::all_of(parts.begin(), parts.end(),
                       [](std::int64_t each) { return each >= 0 && each <= largestAmount; });
}

void checkSubmission(const job_record &job)
{
    RC_ASSERT(!job.steps.empty());
    for (const job_step &each : job.steps) {
        RC_ASSERT(isInRange(each.request));
        RC_ASSERT(each.taskCount >= 1U && each.taskCount <= 2000U);
        RC_ASSERT(each.estimate.count() >= 0);
        RC_ASSERT(each.maxPerExecutor <= 1'000'000U);
        RC_ASSERT(each.maxUnavailable <= 1'000'000U);
    }
    RC_ASSERT(job.interval.count() >= 0);
    RC_ASSERT(job.firstDue.count() >= 0);
}

/** One malformed message must not end a process, and what is read of it must be in range: a
    negative count that wraps would permit four thousand million interruptions. */
class decoder_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decoder_fuzz_test);
    CPPUNIT_TEST(documentsOfOperators);
    CPPUNIT_TEST(registrationsOfExecutors);
    CPPUNIT_TEST(submissions);
    CPPUNIT_TEST(answersOfExecutors);
    CPPUNIT_TEST(answersOfTheStore);
    CPPUNIT_TEST(answersOfTheVmService);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_server.start(); }
    void tearDown() override { m_server.close(); }

    void documentsOfOperators()
    {
        check("configurations", [] {
            const auto config = decodeCatalogue(damage(configText));
            if (!config)
                return;
            for (const queue_entry &each : config->queues) {
                RC_ASSERT(each.maxAttempts <= 1'000'000U);
                RC_ASSERT(each.priority >= 0);
                RC_ASSERT(each.stretch >= 0 && each.stretch <= 1000);
                RC_ASSERT(each.target.count() >= 0);
            }
            for (const team_entry &each : config->teams)
                RC_ASSERT(isInRange(each.limit));
        });
        check("waves", [] {
            const boot_time now = boot_clock::now();
            const auto wave = decodeWave(damage(waveText), now);
            if (!wave)
                return;
            RC_ASSERT(wave->maxParallel >= 1U && wave->maxParallel <= 1'000'000U);
            RC_ASSERT(wave->deadline >= now);
        });
    }

    void registrationsOfExecutors()
    {
        check("registrations", [] {
            const auto info = decodeExecutor("e1", damage(executorText));
            if (!info)
                return;
            RC_ASSERT(isInRange(info->capacity));
            RC_ASSERT(info->startedUnixMs >= 0);
            RC_ASSERT(info->remaining.count() >= 0);
        });
    }

    void submissions()
    {
        check("submissions", [] {
            if (const auto job = decodeSubmission(damage(submissionText)))
                checkSubmission(*job);
        });
    }

    void answersOfExecutors()
    {
        executor_client client{m_loop};
        check("reports", [this, &client] {
            serve(damage(reportText));
            std::optional<executor_reply> reply;
            client.report({"e1", m_port.text(), 0, 0, std::nullopt, {}},
                          [&reply](executor_reply &&got) { reply = std::move(got); });
            RC_ASSERT(runUntil(m_loop, [&reply] { return reply.has_value(); }));
            if (reply->outcome != report_outcome::reported)
                return;
            RC_ASSERT(reply->report.clock.count() >= 0);
            for (const reported_run &each : reply->report.running)
                RC_ASSERT(each.progressPercent >= 0 && each.progressPercent <= 100);
        });
    }

    void answersOfTheStore()
    {
        store_client store{m_loop, m_port.text()};
        check("store", [this, &store] {
            serve(damage(rangeText));
            const auto page = call<keyspace_range>(
                [&store](auto done) { store.range("a/", {}, std::move(done)); });
            RC_ASSERT(page.error != keyspace_error::none || page.revision > 0);
            serve(damage(itemText));
            (void)call<keyspace_range>([&store](auto done) { store.get("a/b", std::move(done)); });
            serve(damage(changesText));
            const auto changes = call<keyspace_changes>(
                [&store](auto done) { store.watch("a/", 1, milliseconds{100}, std::move(done)); });
            RC_ASSERT(changes.revision >= 0);
            serve(damage(commitText));
            const auto commit =
                call<keyspace_commit>([&store](auto done) { store.commit({}, std::move(done)); });
            RC_ASSERT(commit.error != keyspace_error::none || commit.revision > 0);
            serve(damage(leaseText));
            const auto lease = call<keyspace_lease>(
                [&store](auto done) { store.grant(milliseconds{1500}, std::move(done)); });
            RC_ASSERT(lease.error != keyspace_error::none || lease.lease > 0);
        });
    }

    void answersOfTheVmService()
    {
        vm_client client{m_loop, m_port.text(), "vm"};
        check("VM list", [this, &client] {
            serve(damage(listText));
            const auto list =
                call<vm_listing>([&client](auto done) { client.list(std::move(done)); });
            for (const vm_entry &each : list.vms)
                RC_ASSERT(isInRange(each.capacity));
        });
    }

private:
    template <typename Property>
    static void check(const char *name, Property property)
    {
        CPPUNIT_ASSERT(rc::check(name, property));
    }

    /** Sets the body of all answers. */
    void serve(std::string body) { m_body = std::move(body); }

    template <typename Reply, typename Call>
    Reply call(Call send)
    {
        std::optional<Reply> reply;
        send([&reply](Reply &&got) { reply = std::move(got); });
        RC_ASSERT(runUntil(m_loop, [&reply] { return reply.has_value(); }));
        return std::move(*reply);
    }

    boost::asio::io_context m_loop{};
    reserved_port m_port{};
    std::string m_body{};
    http_server m_server{m_loop, m_port.text(), http_limits{},
                         [this](const http_request &) -> boost::asio::awaitable<http_response> {
                             co_return jsonResponse(http::status::ok, m_body);
                         }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(decoder_fuzz_test);

} // namespace
