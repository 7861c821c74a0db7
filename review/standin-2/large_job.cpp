#include "cases.hpp"
#include "setup.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace standin {

namespace {

constexpr int occurrences{6};
constexpr std::int64_t finishMs{14'000};

/** 9,996 tasks in each occurrence, of which the last one works for long. */
std::string largeJob(int repeats)
{
    std::string phases;
    for (int each = 0; each < 5; ++each)
        phases += R"({"Count":1999,"Cpu":10,"MemMb":1,"EstimateMs":50},)";
    return R"({"Spec":"season","Phases":[)" + phases
        + R"({"Count":1,"Cpu":10,"MemMb":1,"EstimateMs":100000}],"Repeats":)"
        + std::to_string(repeats) + R"(,"FirstRunMs":)" + std::to_string(unixMs())
        + R"(,"IntervalMs":2000})";
}

std::string smallJob()
{
    return R"({"Spec":"seats","Phases":[{"Count":100,"Cpu":500,"MemMb":256,"EstimateMs":300}]})";
}

} // namespace

/** The progress of one large job exceeds what the store takes as one value. */
int runLargeJob(bool withTrouble)
{
    executor::workMs = [](const std::string &task) -> std::int64_t {
        if (!task.starts_with(jobId(1)))
            return 300;
        return task.find(".5.") != std::string::npos ? 100'000 : 50;
    };
    executor::isQuiet = [](const std::string &) { return true; };
    // Never destroyed: its threads run until the process ends.
    deployment &world = *new deployment{4, 2};
    if (!world.start())
        return notRun;
    sleepMs(2000);
    daemon_process &front = *world.daemons.front();
    const auto isCompleted = [&](int number) {
        return world.client.send(front, "GET", prefix + jobId(number)).body.find("completed")
            != std::string::npos;
    };
    if (world.client.send(front, "POST", prefix + jobId(1), largeJob(withTrouble ? occurrences : 1))
            .status
        != 200)
        return notRun;
    const std::int64_t end = elapsedMs() + 28'000;
    int number = 1;
    std::set<std::string> accepted;
    while (elapsedMs() < end) {
        sleepMs(1500);
        ++number;
        if (world.client.send(front, "POST", prefix + jobId(number), smallJob()).status == 200)
            accepted.insert(jobId(number));
        std::map<std::string, int> count;
        for (const run_event &each : executor::events())
            ++count[each.kind];
        record("runs started " + std::to_string(count["start"]) + ", done "
               + std::to_string(count["done"]) + ", acknowledged "
               + std::to_string(count["acknowledged"]));
    }
    sleepMs(finishMs);
    int result = held;
    std::map<std::string, int> starts;
    std::map<std::string, int> done;
    for (const run_event &each : executor::events()) {
        starts[each.task.substr(0, 16)] += each.kind == "start" ? 1 : 0;
        done[each.task.substr(0, 16)] += each.kind == "done" ? 1 : 0;
    }
    for (int each = 2; each <= number; ++each) {
        const std::string id = jobId(each);
        record("job " + id + ": " + std::to_string(starts[id]) + " starts, " + std::to_string(done[id])
               + " ends done" + (isCompleted(each) ? ", shown as completed" : ", not shown as completed"));
        if (accepted.contains(id) && starts[id] == 0) {
            record("LOST: job " + id + " was accepted and has nothing running for over 3 s, while "
                   "the executors are idle");
            result = broken;
        }
    }
    stopAll(world);
    return result;
}

} // namespace standin
