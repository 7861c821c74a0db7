#include "cases.hpp"

namespace review {

namespace {

constexpr milliseconds callTime{3000};
constexpr milliseconds trafficTime{10'000};
/** finish_s: jobs are asked for so long after the end of the traffic. */
constexpr milliseconds finishTime{14'000};
/** A job must not have nothing running for so long while there is room. */
constexpr milliseconds lostTime{3000};
constexpr int othersOfQueue{20};

std::string jobId(const char *prefix, int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%s%04x", prefix, number);
    return text;
}

json::object smallJob()
{
    return {{"Spec", "ms=800"},
            {"Phases",
             json::array{
                 json::object{{"Count", 2}, {"Cpu", 3300}, {"MemMb", 1024}, {"EstimateMs", 800}}}}};
}

/** Needs 200 of the 192 cores that the three machines have together. */
json::object wideGang(bool fits)
{
    return {{"Spec", fits ? "ms=2000 gang=20" : "ms=2000 gang=200"},
            {"Phases",
             json::array{json::object{{"Count", fits ? 20 : 200},
                                      {"Cpu", 1000},
                                      {"MemMb", 64},
                                      {"EstimateMs", 120'000},
                                      {"Gang", true}}}}};
}

} // namespace

/** One job of a queue with priority 0 is a gang that the pool has no room for. Small jobs of a
    queue with priority 1 use the same, idle pool. */
asio::awaitable<verdict> gangWithoutRoom(world &in, bool trouble)
{
    in.configure({"festivals"});
    in.addQueue("festival-plan", "festivals", 1);
    for (const char *const each : {"m-1", "m-2", "m-3"})
        in.addMachine(each, "festivals");
    for (const char *const each : {"edge-1", "edge-2", "edge-3"})
        in.startDaemon(each);
    if (!co_await in.waitUntilReady())
        co_return verdict::not_run;
    co_await sleepFor(milliseconds{3000});
    std::vector<std::string> accepted;
    const milliseconds begun = in.now();
    bool handedIn = false;
    for (int number = 1; in.now() < begun + trafficTime; ++number) {
        if (in.now() >= begun + milliseconds{2000} && !handedIn) {
            handedIn = true;
            // The gang is one of 21 jobs of its own queue.
            for (int each = 1; each <= othersOfQueue; ++each)
                co_await in.submit("edge-1", "festivals", jobId("cccccccccccc", each), smallJob(),
                                   callTime);
            const std::string gang = jobId("aaaaaaaaaaaa", 1);
            const answer got =
                co_await in.submit("edge-1", "festivals", gang, wideGang(!trouble), callTime);
            if (got.status != 200)
                co_return verdict::not_run;
        }
        const std::string id = jobId("bbbbbbbbbbbb", number);
        const answer got = co_await in.submit(number % 2 ? "edge-2" : "edge-3", "festival-plan", id,
                                              smallJob(), callTime);
        if (got.status == 200)
            accepted.push_back(id);
        co_await sleepFor(milliseconds{500});
    }
    in.record("traffic ends");
    co_await sleepFor(finishTime + lostTime);
    std::size_t idle = 0;
    for (const std::string &each : accepted) {
        co_await in.state("edge-2", "festival-plan", each, callTime);
        if (in.startsOf(each).empty())
            ++idle;
    }
    std::size_t running = 0;
    for (const auto &each : in.executors())
        running += each->runningCount();
    in.record("accepted small jobs: " + std::to_string(accepted.size()) + "; not started "
              + std::to_string((finishTime + lostTime).count())
              + " ms after the traffic: " + std::to_string(idle)
              + "; runs on the pool's executors: " + std::to_string(running));
    if (accepted.empty())
        co_return verdict::not_run;
    co_return idle == 0 ? verdict::held : verdict::broken;
}

} // namespace review
