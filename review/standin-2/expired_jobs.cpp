#include "cases.hpp"
#include "setup.hpp"

#include <boost/json.hpp>

#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <string>

namespace standin {

namespace json = boost::json;

namespace {

constexpr int jobs{45};
constexpr int cancelledJobs{5};
/** Exceeds the time for which the state of an ended job can be asked for, and any margin. */
constexpr std::int64_t pauseMs{200'000};

std::string simpleJob()
{
    return R"({"Spec":"seats","Phases":[{"Count":2,"Cpu":500,"MemMb":256,"EstimateMs":300}]})";
}

/** The stored times of the jobs become older, as if the system had been off for the pause. With
    REAL=1, the pause is waited for instead. */
void pass(store &platform)
{
    if (const char *const real = std::getenv("REAL"); real && *real == '1') {
        sleepMs(pauseMs);
        return;
    }
    const auto shift = [&platform](const std::string &key, const std::string &value,
                                   const char *field) {
        json::object body = json::parse(value).as_object();
        if (body.contains(field)) {
            body[field] = body[field].to_number<std::int64_t>() - pauseMs;
            platform.put(key, json::serialize(body));
        }
    };
    for (const auto &[key, value] : platform.list("azurelb/job/")) {
        if (key.ends_with("/record"))
            shift(key, value, "accepted_ms");
    }
    for (const auto &[key, value] : platform.list("azurelb/progress/"))
        shift(key, value, "ended_ms");
}

} // namespace

/** Jobs end, the system is off for some minutes, and the process that removes the ended jobs from
    the store is killed right after a write. */
int runExpiredJobs(bool withTrouble)
{
    executor::workMs = [](const std::string &) -> std::int64_t { return 300; };
    // Never destroyed: its threads run until the process ends.
    deployment &world = *new deployment{2, 2};
    if (!world.start())
        return notRun;
    sleepMs(1500);
    daemon_process &front = *world.daemons.front();
    for (int each = 1; each <= jobs; ++each) {
        if (world.client.send(front, "POST", prefix + jobId(each), simpleJob()).status != 200)
            return notRun;
        if (each > jobs - cancelledJobs
            && world.client.send(front, "DELETE", prefix + jobId(each)).status != 200)
            return notRun;
    }
    const auto isOver = [&](int each) {
        const std::string body = call(front.front(), "GET", prefix + jobId(each),
                                      {{"Host", world.client.host},
                                       {"Authorization", "Token " + world.client.key}},
                                      {}, 3000)
                                     .body;
        return body.find(each > jobs - cancelledJobs ? "cancelled" : "completed")
            != std::string::npos;
    };
    for (int each = 1; each <= jobs; ++each) {
        if (!waitFor(20'000, [&] { return isOver(each); }))
            return notRun;
        (void)world.client.send(front, "GET", prefix + jobId(each));
    }
    sleepMs(3000);
    stopAll(world);
    record("the system is off for " + std::to_string(pauseMs / 1000) + " s");
    pass(world.platform);
    const std::int64_t resumedAt = elapsedMs();

    // STOP=TERM: a planned stop instead of the kill.
    const char *const stop = std::getenv("STOP");
    const int number = stop && std::string{stop} == "TERM" ? SIGTERM : SIGKILL;
    std::atomic<bool> struck{false};
    world.platform.onCommit = [&](const store::commit_info &info) {
        if (!withTrouble || !info.hasConditions || info.removals.empty() || struck.exchange(true))
            return;
        if (daemon_process *const writer = world.orderingDaemon()) {
            record("a write of " + writer->vm() + " under a condition removed "
                   + std::to_string(info.removals.size()) + " keys; it is stopped");
            writer->signal(number);
        }
    };
    for (const auto &each : world.daemons)
        each->start();
    for (int each = 0; each < 40; ++each) {
        sleepMs(500);
        for (const auto &process : world.daemons) {
            if (process->hasEnded())
                process->start();
        }
    }

    int result = held;
    std::map<std::string, std::int64_t> taken;
    for (const run_event &each : executor::events()) {
        const int job =
            static_cast<int>(std::stoul(each.task.substr(12, 4), nullptr, 16));
        if (each.kind == "done" && each.at < resumedAt)
            taken.try_emplace(each.task, 0);
        if (each.kind == "acknowledged" && taken.contains(each.task))
            taken[each.task] = each.at;
        if (each.kind != "start" || each.at < resumedAt)
            continue;
        const auto done = taken.find(each.task);
        if (done != taken.end() && done->second != 0) {
            record("TWICE: " + each.task + " starts as run " + std::to_string(each.run)
                   + " after a run that ended done and was taken note of");
            result = broken;
        } else if (job > jobs - cancelledJobs) {
            record("UNASKED: " + each.task + " starts after its job was cancelled");
            result = broken;
        }
    }
    if (withTrouble && !struck)
        return notRun;
    record("items of jobs left in the store: "
           + std::to_string(world.platform.list("azurelb/job/").size()));
    stopAll(world);
    return result;
}

} // namespace standin
