#include "cases.hpp"

namespace review {

namespace {

constexpr milliseconds callTime{3000};
/** ContactMs and the lease of the lost executor. */
constexpr milliseconds calmAfter{10'000};
constexpr milliseconds observation{45'000};
constexpr int gangs{6};

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "cccccccccccc%04x", number);
    return text;
}

/** Two members on different executors that save a checkpoint each second. */
json::object pairJob()
{
    return {{"Spec", "ms=9000 save gang=2"},
            {"Phases",
             json::array{json::object{{"Count", 2},
                                      {"Cpu", 6000},
                                      {"MemMb", 1024},
                                      {"EstimateMs", 9000},
                                      {"Gang", true},
                                      {"AntiAffinity", 1},
                                      {"Checkpointing", true}}}}};
}

} // namespace

/** An executor is lost while gangs with checkpoints have a member on it. */
asio::awaitable<verdict> gangAfterCrash(world &in, bool trouble)
{
    in.configure({"festivals"});
    for (const char *const each : {"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"})
        in.addMachine(each, "festivals");
    for (const char *const each : {"edge-1", "edge-2", "edge-3"})
        in.startDaemon(each);
    if (!co_await in.waitUntilReady())
        co_return verdict::not_run;
    co_await sleepFor(milliseconds{3000});
    for (int each = 1; each <= gangs; ++each) {
        const answer got =
            co_await in.submit("edge-2", "festivals", jobId(each), pairJob(), callTime);
        if (got.status != 200)
            co_return verdict::not_run;
        co_await sleepFor(milliseconds{170});
    }
    co_await sleepFor(milliseconds{3500});
    const milliseconds crashedAt = in.now();
    if (trouble) {
        for (const auto &each : in.executors()) {
            if (each->runningCount() > 0) {
                in.crashMachine(each->machine());
                break;
            }
        }
    }
    co_await sleepFor(observation);
    std::size_t unfinished = 0;
    std::size_t alone = 0;
    for (int each = 1; each <= gangs; ++each) {
        co_await in.state("edge-1", "festivals", jobId(each), callTime);
        const std::size_t ends = in.endsOf(jobId(each), "alone", crashedAt + calmAfter);
        in.record("job " + jobId(each) + ": " + std::to_string(in.doneOf(jobId(each)))
                  + " members done, " + std::to_string(ends) + " runs ended alone later than "
                  + std::to_string(calmAfter.count()) + " ms after the crash");
        unfinished += in.doneOf(jobId(each)) < 2 ? 1 : 0;
        alone += ends;
    }
    in.record("gang runs whose members were started with different checkpoints: "
              + std::to_string(in.mixedCheckpoints()) + "; jobs not done: "
              + std::to_string(unfinished) + "; runs ended alone: " + std::to_string(alone));
    co_return alone == 0 ? verdict::held : verdict::broken;
}

} // namespace review
