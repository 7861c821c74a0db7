#include "cases.hpp"
#include "setup.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace standin {

namespace {

constexpr std::int64_t visibleMs{3000};
constexpr int jobs{8};
/** Within the site's figures for festival-plan and concert-plan: 21 cores and 5.2 s at most. */
constexpr int tasks{5};
constexpr int taskCpu{16'000};
constexpr int taskMs{4000};

std::string gang()
{
    return R"({"Spec":"seats","Phases":[{"Count":)" + std::to_string(tasks) + R"(,"Cpu":)"
        + std::to_string(taskCpu) + R"(,"MemMb":1024,"EstimateMs":)" + std::to_string(taskMs)
        + R"(,"Gang":true}]})";
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

/** Gangs come at once on two executors that hold one of them and some members of the next. Without
    the burst, each comes when the one before has ended. */
int runWaitingGangs(bool withTrouble)
{
    executor::workMs = [](const std::string &) -> std::int64_t { return taskMs; };
    // Never destroyed: its threads run until the process ends.
    deployment &world = *new deployment{2, 2};
    if (!world.start())
        return notRun;
    sleepMs(2000);
    daemon_process &front = *world.daemons.front();
    struct submission
    {
        std::int64_t sendAt;
        bool isSent{false};
        /** 0: not accepted; callers of rejected jobs give up. */
        std::int64_t acceptedAt{0};
    };
    std::vector<submission> submissions;
    const std::int64_t begin = elapsedMs();
    for (int each = 0; each < jobs; ++each) {
        submissions.push_back({begin + each * (withTrouble ? 500 : taskMs + 1500)});
        executor::gangSizes[jobId(1 + each) + ".0.0"] = tasks;
    }
    int result = held;
    const std::int64_t end = begin + jobs * (taskMs + 1500);
    while (elapsedMs() < end) {
        for (std::size_t each = 0; each < submissions.size(); ++each) {
            submission &job = submissions[each];
            if (job.isSent || elapsedMs() < job.sendAt)
                continue;
            job.isSent = true;
            const std::string id = jobId(1 + static_cast<int>(each));
            if (world.client.send(front, "POST", prefix + id, gang()).status == 200)
                job.acceptedAt = elapsedMs();
        }
        sleepMs(250);
        const std::int64_t askedAt = elapsedMs();
        for (const auto &each : world.daemons) {
            const std::int64_t waiting = waitingOf(world.client.send(*each, "GET", prefix));
            const std::set<std::string> begun = begunJobs();
            std::int64_t owed = 0;
            for (std::size_t job = 0; job < submissions.size(); ++job) {
                const std::int64_t acceptedAt = submissions[job].acceptedAt;
                const bool isOld = acceptedAt != 0 && askedAt - acceptedAt > visibleMs + 2000;
                owed += isOld && !begun.contains(jobId(1 + static_cast<int>(job))) ? 1 : 0;
            }
            if (waiting >= 0 && waiting * 2 < owed) {
                record("MIXED: Waiting is " + std::to_string(waiting) + " at " + each->vm()
                       + ", while " + std::to_string(owed)
                       + " jobs that were accepted over 5 s before have not begun");
                result = broken;
            }
        }
    }
    for (int each = 1; each <= jobs; ++each)
        (void)world.client.send(front, "GET", prefix + jobId(each));
    stopAll(world);
    return result;
}

} // namespace standin
