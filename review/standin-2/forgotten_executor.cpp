#include "cases.hpp"
#include "setup.hpp"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <set>

namespace standin {

namespace {

/** An entry goes after three heartbeats of silence. */
constexpr std::int64_t entryLifeMs{4500};
constexpr std::int64_t cutMs{5500};
/** Between 1 and 6 s. */
constexpr std::int64_t lateMs{5000};

std::string longJob()
{
    return R"({"Spec":"seats","Phases":[{"Count":4,"Cpu":8000,"MemMb":1024,"EstimateMs":40000,)"
           R"("Affinity":"r1-1"}]})";
}

} // namespace

/** An executor is cut off for a while; the write that removes its record gets no answer and is done
    after it is back. Later the owner stops as planned while the executor is cut off again. */
int runForgottenExecutor(bool withTrouble)
{
    executor::workMs = [](const std::string &) -> std::int64_t { return 40'000; };
    // Never destroyed: its threads run until the process ends.
    deployment &world = *new deployment{6, 2};
    // For comparison: everything but the lost write.
    const bool losesWrite = !std::getenv("KEEP_WRITE");
    std::atomic<bool> lost{false};
    executor &cutOff = *world.executors.front();
    world.platform.delayWithoutAnswer = [&](const store::commit_info &info,
                                            const std::string &) -> std::int64_t {
        const std::string key = "azurelb/executor/" + cutOff.settings().id;
        if (!withTrouble || !losesWrite
            || std::find(info.removals.begin(), info.removals.end(), key) == info.removals.end()
            || lost.exchange(true))
            return 0;
        record("store: a write gets no answer and is done 5 s later");
        return lateMs;
    };
    if (!world.start())
        return notRun;
    sleepMs(3000);
    // The first cut.
    if (withTrouble) {
        const std::string entry = world.platform.get("servers/" + cutOff.settings().id);
        cutOff.cut();
        sleepMs(entryLifeMs);
        world.platform.remove("servers/" + cutOff.settings().id);
        sleepMs(cutMs - entryLifeMs);
        cutOff.heal();
        world.platform.put("servers/" + cutOff.settings().id, entry);
    }
    sleepMs(7000);
    daemon_process *const first = world.orderingDaemon();
    if (!first)
        return notRun;
    if (world.client.send(world.other(first), "POST", prefix + jobId(1), longJob()).status != 200)
        return notRun;
    if (!waitFor(5000, [] { return executor::events().size() >= 4; }))
        return notRun;
    sleepMs(2000);
    // The second cut and a planned stop.
    if (withTrouble) {
        cutOff.cut();
        first->signal(SIGTERM);
    }
    sleepMs(cutMs);
    if (withTrouble)
        cutOff.heal();
    sleepMs(5000);

    int result = held;
    std::map<std::string, std::pair<std::int64_t, std::string>> running;
    for (const run_event &each : executor::events()) {
        if (each.kind == "start") {
            if (running.contains(each.task)) {
                record("TWICE: " + each.task + " starts on " + each.executor + " as run "
                       + std::to_string(each.run) + " while run "
                       + std::to_string(running[each.task].first) + " is at work on "
                       + running[each.task].second);
                result = broken;
            }
            running[each.task] = {each.run, each.executor};
        } else if ((each.kind == "done" || each.kind == "lapsed" || each.kind == "stopped")
                   && running.contains(each.task) && running[each.task].first == each.run) {
            running.erase(each.task);
        }
    }
    if (withTrouble && losesWrite && !lost)
        return notRun;
    stopAll(world);
    return result;
}

} // namespace standin
