#include "cases.hpp"

namespace review {

namespace {

constexpr milliseconds callTime{3000};
constexpr milliseconds trafficTime{12'000};
constexpr milliseconds finishTime{14'000};
/** A job must not have nothing running for so long while there is room. */
constexpr milliseconds lostTime{3000};
/** A job that is due every minute for ten weeks; the daemons accept up to 100,000 occurrences. */
constexpr int manyRepeats{100'000};
constexpr int fewRepeats{20};
/** The scheduled job comes after this many others. */
constexpr int scheduledAfter{9};
/** Retries of the clients on the site. */
constexpr int retries{4};

std::string jobId(const char *prefix, int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%s%04x", prefix, number);
    return text;
}

/** Hands the job in at one daemon after the other until one answers. */
asio::awaitable<void> handIn(world &in, int number, std::vector<std::string> &accepted)
{
    const std::string id = jobId("bbbbbbbbbbbb", number);
    const json::object job{{"Spec", "ms=300"},
                           {"Phases",
                            json::array{json::object{
                                {"Count", 2}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 300}}}}};
    for (int attempt = 0; attempt <= retries; ++attempt) {
        const std::string daemon = "edge-" + std::to_string((number + attempt) % 3 + 1);
        const answer got = co_await in.submit(daemon, "lofts", id, job, callTime);
        if (got.status == 200) {
            accepted.push_back(id);
            co_return;
        }
        co_await sleepFor(milliseconds{200});
    }
}

} // namespace

/** One client hands in a job that is due every minute from 1970 on; others hand in small jobs for
    another pool. */
asio::awaitable<verdict> overdueOccurrences(world &in, bool trouble)
{
    in.configure({"lofts", "festivals"});
    for (const char *const each : {"m-1", "m-2", "m-3"})
        in.addMachine(each, "lofts");
    in.addMachine("m-4", "festivals");
    for (const char *const each : {"edge-1", "edge-2", "edge-3"})
        in.startDaemon(each);
    if (!co_await in.waitUntilReady())
        co_return verdict::not_run;
    co_await sleepFor(milliseconds{3000});
    const std::string scheduled = jobId("aaaaaaaaaaaa", 1);
    in.summarize(scheduled);
    const json::object every{
        {"Spec", "ms=50"},
        {"Repeats", trouble ? manyRepeats : fewRepeats},
        {"IntervalMs", 60'000},
        {"Phases",
         json::array{
             json::object{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"EstimateMs", 50}}}}};
    std::vector<std::string> accepted;
    const auto executor = co_await asio::this_coro::executor;
    const milliseconds begun = in.now();
    for (int number = 1; in.now() < begun + trafficTime; ++number) {
        if (number == scheduledAfter) {
            const answer got =
                co_await in.submit("edge-1", "festivals", scheduled, every, callTime);
            if (got.status != 200)
                co_return verdict::not_run;
        }
        asio::co_spawn(executor, handIn(in, number, accepted), asio::detached);
        co_await sleepFor(milliseconds{400});
    }
    // The last calls are answered or over.
    co_await sleepFor(callTime);
    in.record("traffic ends");
    co_await sleepFor(finishTime + lostTime);
    std::size_t idle = 0;
    for (const std::string &each : accepted) {
        if (in.startsOf(each).empty())
            ++idle;
    }
    std::size_t running = 0;
    for (const auto &each : in.executors())
        running += each->runningCount();
    const std::size_t scheduledRuns = in.startsOf(scheduled).size();
    in.record("accepted jobs for lofts: " + std::to_string(accepted.size()) + "; not started "
              + std::to_string((finishTime + lostTime).count()) + " ms after the traffic: "
              + std::to_string(idle) + "; runs on all executors: " + std::to_string(running)
              + "; runs of the scheduled job so far: " + std::to_string(scheduledRuns));
    co_await in.state("edge-1", "festivals", scheduled, callTime);
    co_await in.state("edge-2", "festivals", scheduled, callTime);
    co_return idle == 0 && scheduledRuns > 0 ? verdict::held : verdict::broken;
}

} // namespace review
