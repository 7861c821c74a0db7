#include "cases.hpp"

#include <signal.h>

namespace review {

namespace {

/** The longest freeze of a machine on the sites is 4 s (node_freeze). */
constexpr milliseconds freezeTime{2500};
/** The client cancels the job after this time. */
constexpr milliseconds cancelAfter{300};
/** cancel_ms: no task starts later than this after the cancelling was acknowledged. */
constexpr milliseconds cancelBound{4000};
/** Deadline of the clients' calls. */
constexpr milliseconds callTime{3000};
constexpr milliseconds observation{10'000};
constexpr int rounds{4};

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "eeeeeeeeeeee%04x", number);
    return text;
}

/** Three steps, one after the other. */
json::object planJob()
{
    json::array phases;
    for (int each = 0; each < 3; ++each) {
        json::object phase{{"Count", 4}, {"Cpu", 7100}, {"MemMb", 1024}, {"EstimateMs", 2100}};
        if (each > 0)
            phase["After"] = json::array{each - 1};
        phases.push_back(std::move(phase));
    }
    return {{"Spec", "ms=2100"}, {"Phases", std::move(phases)}};
}

} // namespace

/** A client submits a job at a machine that is frozen, and cancels it at another machine, which
    answers 410, before it has got an answer. Then the frozen machine wakes. */
asio::awaitable<verdict> cancelledBeforeFrozenSubmission(world &in, bool trouble)
{
    in.configure({"lofts"});
    in.addMachine("m-1", "lofts");
    in.addMachine("m-2", "lofts");
    in.startDaemon("edge-1");
    // The first daemon becomes the owner, and stays undisturbed.
    if (!co_await in.waitUntilReady())
        co_return verdict::not_run;
    co_await sleepFor(milliseconds{2500});
    in.startDaemon("edge-2");
    in.startDaemon("edge-3");
    if (!co_await in.waitUntilReady())
        co_return verdict::not_run;
    const auto executor = co_await asio::this_coro::executor;
    std::size_t late = 0;
    for (int round = 1; round <= rounds; ++round) {
        const std::string id = jobId(round);
        if (trouble)
            in.signalDaemon("edge-3", SIGSTOP);
        const milliseconds begun = in.now();
        asio::co_spawn(
            executor,
            [&in, id]() -> asio::awaitable<void> {
                co_await in.submit("edge-3", "lofts", id, planJob(), callTime);
            },
            asio::detached);
        co_await sleepFor(cancelAfter);
        const answer cancelled = co_await in.cancel("edge-2", "lofts", id, callTime);
        const milliseconds acknowledged = in.now();
        if (cancelled.status != 200 && cancelled.status != 410)
            co_return verdict::not_run;
        if (trouble) {
            co_await sleepFor(freezeTime - (in.now() - begun));
            in.signalDaemon("edge-3", SIGCONT);
        }
        co_await sleepFor(observation);
        for (const milliseconds at : in.startsOf(id)) {
            if (at > acknowledged + cancelBound)
                ++late;
        }
        co_await in.state("edge-1", "lofts", id, callTime);
    }
    in.record("starts later than cancel_ms after the acknowledgement: " + std::to_string(late));
    co_return late == 0 ? verdict::held : verdict::broken;
}

} // namespace review
