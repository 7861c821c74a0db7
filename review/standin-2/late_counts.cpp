#include "cases.hpp"
#include "setup.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <set>

namespace standin {

namespace {

constexpr std::int64_t visibleMs{3000};
constexpr std::int64_t contactMs{3000};
/** Between 1 and 6 s. */
constexpr std::int64_t lateMs{5000};
constexpr int burstJobs{20};

std::string job(int cpu, int estimate)
{
    return R"({"Spec":"seats","Phases":[{"Count":1,"Cpu":)" + std::to_string(cpu)
        + R"(,"MemMb":1024,"EstimateMs":)" + std::to_string(estimate) + "}]}";
}

std::int64_t waitingOf(const http_response &answer)
{
    boost::system::error_code failure;
    const boost::json::value body = boost::json::parse(answer.body, failure);
    const bool ok = answer.status == 200 && !failure && body.is_object()
        && body.as_object().contains("Waiting");
    return ok ? body.at("Waiting").to_number<std::int64_t>() : -1;
}

std::set<std::string> begunJobs()
{
    std::set<std::string> begun;
    for (const run_event &each : executor::events()) {
        if (each.kind == "start")
            begun.insert(each.task.substr(0, 16));
    }
    return begun;
}

} // namespace

/** One write to the store gets no answer and is done seconds later, after newer
    writes. */
int runLateCounts(bool withTrouble)
{
    executor::workMs = [](const std::string &task) -> std::int64_t {
        return task.starts_with(jobId(1)) ? 32'000 : 300;
    };
    // Never destroyed: its threads run until the process ends.
    deployment &world = *new deployment{1, 2};
    std::atomic<bool> lost{false};
    std::atomic<std::int64_t> lostAt{0};
    world.platform.delayWithoutAnswer = [&](const store::commit_info &info,
                                            const std::string &) -> std::int64_t {
        for (std::size_t each = 0; each < info.puts.size(); ++each) {
            if (withTrouble && info.puts[each] == "azurelb/waiting"
                && info.values[each].find(":1}") != std::string::npos && !lost.exchange(true)) {
                lostAt = elapsedMs();
                record("store: a write gets no answer and is done 5 s later");
                return lateMs;
            }
        }
        return 0;
    };
    if (!world.start())
        return notRun;
    sleepMs(2000);
    daemon_process &front = *world.daemons.front();
    // The first job takes the executor for 32 s, the second one waits.
    for (int each = 1; each <= 2; ++each) {
        if (world.client
                .send(front, "POST", prefix + jobId(each),
                      each == 1 ? job(64'000, 32'000) : job(16'000, 300))
                .status
            != 200)
            return notRun;
        sleepMs(500);
    }
    sleepMs(1500);
    std::vector<std::int64_t> acceptedAt{elapsedMs()};
    for (int each = 3; each < 3 + burstJobs; ++each) {
        if (world.client.send(front, "POST", prefix + jobId(each), job(16'000, 300)).status != 200)
            return notRun;
        acceptedAt.push_back(elapsedMs());
    }
    int result = held;
    const std::int64_t end = elapsedMs() + 20'000;
    while (elapsedMs() < end) {
        sleepMs(1000);
        const std::int64_t askedAt = elapsedMs();
        // The platform's store counts as disrupted until the late write, and for ContactMs after.
        const bool isStable = !lost || askedAt > lostAt + lateMs + contactMs;
        for (const auto &each : world.daemons) {
            const std::int64_t waiting = waitingOf(world.client.send(*each, "GET", prefix));
            const std::set<std::string> begun = begunJobs();
            std::int64_t owed = 0;
            for (std::size_t at = 0; at < acceptedAt.size(); ++at) {
                const bool isOld = askedAt - acceptedAt[at] > visibleMs + 2000;
                owed += isOld && !begun.contains(jobId(2 + static_cast<int>(at))) ? 1 : 0;
            }
            if (isStable && waiting >= 0 && waiting * 2 < owed) {
                record("MIXED: Waiting is " + std::to_string(waiting) + " at " + each->vm()
                       + ", while " + std::to_string(owed)
                       + " jobs that were accepted over 5 s before have not begun");
                result = broken;
            }
        }
    }
    if (withTrouble && !lost)
        return notRun;
    stopAll(world);
    return result;
}

} // namespace standin
