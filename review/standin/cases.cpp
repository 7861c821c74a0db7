#include "cases.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace review {

namespace {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0x5c0e0000 + number);
    return text;
}

std::string pathOf(int number)
{
    return "/puxa400/" + jobId(number);
}

std::string bodyOf(const std::string &spec, int count, int cpu, int estimateMs, bool lasts = false)
{
    json::object step{{"Count", count}, {"Cpu", cpu}, {"MemMb", 256}, {"EstimateMs", estimateMs}};
    if (lasts)
        step["LongRunning"] = true;
    return json::serialize(json::object{{"Spec", spec}, {"Phases", json::array{step}}});
}

asio::awaitable<bool> startDaemons(world &all, int count)
{
    for (int index = 1; index <= count; ++index)
        all.start(all.addDaemon("edge-milano-" + std::to_string(index)));
    const bool elected =
        co_await all.waitUntil([&all] { return !all.owner().empty(); }, milliseconds{10'000});
    co_await pause(milliseconds{3000});
    if (elected)
        record("%s is the owner", all.owner().c_str());
    co_return elected;
}

} // namespace

/** More than 500 ends wait for their acknowledgement while the store is down. */
asio::awaitable<int> playManyEnds(world &all, bool troubled)
{
    constexpr int jobs{100};
    all.logRuns = false;
    all.writeConfig(1);
    all.addExecutor("x-1", "m-1", all.service);
    all.addExecutor("x-2", "m-2", all.service);
    if (!co_await startDaemons(all, 3))
        co_return couldNotRun;
    std::vector<int> accepted;
    for (int index = 0; index < jobs; ++index) {
        const auto got = co_await all.call(*all.daemons.at(index % 3), http::verb::post,
                                           pathOf(index), bodyOf("ms=700", 20, 500, 700));
        if (got.status == 200)
            accepted.push_back(index);
        else
            record("client: POST %s to %s -> %u", pathOf(index).c_str(),
                   all.daemons.at(index % 3)->name.c_str(), got.status);
    }
    record("%zu of %d jobs of 20 tasks, each 0.7 s on half a core, were accepted", accepted.size(),
           jobs);
    if (troubled) {
        record("platform_down (busy): the store answers 503 for 4.5 s");
        for (auto &each : all.daemons)
            each->faults.busy = true;
        co_await pause(milliseconds{4500});
        for (auto &each : all.daemons)
            each->faults.busy = false;
        record("the store is back");
    }
    std::size_t completed = 0;
    const auto latest = clock_type::now() + milliseconds{40'000};
    while (completed < accepted.size() && clock_type::now() < latest) {
        const int index = accepted.at(completed);
        const auto got =
            co_await all.call(*all.daemons.at(index % 3), http::verb::get, pathOf(index));
        if (got.status == 200 && got.body.find("completed") != std::string::npos)
            ++completed;
        else
            co_await pause(milliseconds{200});
    }
    record("%zu jobs are shown as completed", completed);
    co_await pause(milliseconds{1500});
    if (accepted.size() < jobs / 2 || completed != accepted.size())
        co_return couldNotRun;
    co_return all.checkTwice() != 0 ? ruleBroken : ruleHeld;
}

namespace {

std::string snapshotPath()
{
    const char *const path = std::getenv("SNAPSHOT");
    return path ? path : "store.json";
}

} // namespace

/** Makes the store's content for the next case: a job is accepted while its pool has no executor,
    then all daemons are stopped. */
asio::awaitable<int> playForgottenJobBefore(world &all, bool)
{
    all.writeConfig(1);
    if (!co_await startDaemons(all, 3))
        co_return couldNotRun;
    const auto got = co_await all.call(*all.daemons.front(), http::verb::post, pathOf(1),
                                       bodyOf("ms=3000", 4, 500, 3000));
    co_await pause(milliseconds{1000});
    (void)co_await all.call(*all.daemons.front(), http::verb::get, pathOf(1));
    for (auto &each : all.daemons)
        all.signal(*each, SIGTERM);
    for (auto &each : all.daemons)
        (void)co_await all.waitUntil([&] { return all.hasEnded(*each); }, milliseconds{8000});
    co_await pause(milliseconds{2000});
    all.platformStore.save(snapshotPath());
    co_return got.status == 200 ? ruleHeld : couldNotRun;
}

/** A job that was accepted long ago completes; its owner is replaced. */
asio::awaitable<int> playForgottenJob(world &all, bool troubled)
{
    if (!all.platformStore.load(snapshotPath()))
        co_return couldNotRun;
    record("the store has what the daemons stored when job %s was accepted: %s", jobId(1).c_str(),
           all.platformStore.get("azurelb/job/" + jobId(1) + "/record").c_str());
    all.addExecutor("x-1", "m-1", all.service);
    all.addExecutor("x-2", "m-2", all.service);
    if (!co_await startDaemons(all, 3))
        co_return couldNotRun;
    call_result got;
    const auto latest = clock_type::now() + milliseconds{30'000};
    while (clock_type::now() < latest && got.body.find("completed") == std::string::npos) {
        co_await pause(milliseconds{500});
        got = co_await all.call(*all.daemons.front(), http::verb::get, pathOf(1));
    }
    if (got.body.find("completed") == std::string::npos)
        co_return couldNotRun;
    co_await pause(milliseconds{6000});
    if (troubled) {
        daemon_process &former = *all.findDaemon(all.owner());
        record("node_kill: the owner %s is killed and started again", former.name.c_str());
        all.kill(former);
        co_await pause(milliseconds{500});
        all.start(former);
        (void)co_await all.waitUntil(
            [&] {
                return !all.owner().empty() && all.platformStore.revisionOf("azurelb/owner") > 0;
            },
            milliseconds{8000});
    }
    // In touch: ContactMs (3 s) after the disruption.
    co_await pause(milliseconds{4000});
    int gone = 0;
    for (int round = 0; round < 8; ++round) {
        for (auto &each : all.daemons) {
            got = co_await all.call(*each, http::verb::get, pathOf(1));
            gone += got.status == 410 ? 1 : 0;
        }
        co_await pause(milliseconds{1000});
    }
    if (gone != 0) {
        record("LOST: a GET for the accepted job is answered 410, seconds after it was shown as "
               "completed (status_s is 120)");
        record("the client, told that no such job exists, hands it in again with the same ID");
        got = co_await all.call(*all.daemons.front(), http::verb::post, pathOf(1),
                                bodyOf("ms=3000", 4, 500, 3000));
        co_await pause(milliseconds{5000});
        (void)all.checkTwice();
    }
    co_return gone != 0 ? ruleBroken : ruleHeld;
}

/** A new owner has not read the configuration under which jobs were accepted. */
asio::awaitable<int> playNewerConfiguration(world &all, bool troubled)
{
    all.writeConfig(1);
    for (int index = 1; index <= 3; ++index)
        all.addExecutor("x-" + std::to_string(index), "m-" + std::to_string(index), all.service);
    if (!co_await startDaemons(all, 3))
        co_return couldNotRun;
    daemon_process &former = *all.findDaemon(all.owner());
    if (troubled) {
        for (auto &each : all.daemons) {
            if (each.get() == &former)
                continue;
            // One answer is lost: that of the watch which carries the new configuration.
            auto lost = std::make_shared<bool>(false);
            each->faults.loses = [lost, name = each->name](const std::string &target,
                                                           const std::string &body) {
                const bool isWatch = target.starts_with("/azurelb/kv-watch")
                    && target.find("Prefix=op") != std::string::npos;
                if (*lost || !isWatch || body.find("op/config") == std::string::npos)
                    return false;
                record("the store's answer to %s, with the new configuration, is lost",
                       name.c_str());
                return *lost = true;
            };
        }
    }
    all.writeConfig(2);
    co_await pause(milliseconds{30});
    constexpr int jobs{24};
    for (int index = 0; index < jobs; ++index) {
        const std::string spec = "ms=" + std::to_string(400 + 70 * (index % 7));
        (void)co_await all.call(former, http::verb::post, pathOf(index),
                                bodyOf(spec, 4, 1500, 600));
        co_await pause(milliseconds{15});
    }
    record("roll_term: the owner %s is stopped", former.name.c_str());
    all.signal(former, SIGTERM);
    if (!co_await all.waitUntil([&] { return !all.owner().empty() && all.owner() != former.name; },
                                milliseconds{6000}))
        co_return couldNotRun;
    record("%s is the owner", all.owner().c_str());
    co_await pause(milliseconds{8000});
    co_return all.checkTwice() != 0 ? ruleBroken : ruleHeld;
}

/** A job's submission gets no answer and is cancelled; the store executes its write later. */
asio::awaitable<int> playLateWrite(world &all, bool troubled)
{
    all.writeConfig(1);
    all.addExecutor("x-1", "m-1", all.service);
    all.addExecutor("x-2", "m-2", all.service);
    if (!co_await startDaemons(all, 3))
        co_return couldNotRun;
    daemon_process *front = nullptr;
    for (auto &each : all.daemons) {
        if (each->name != all.owner())
            front = each.get();
    }
    constexpr int jobs{10};
    constexpr int hit{4};
    if (troubled) {
        record("platform_lost (late): of the writes of %d submissions one gets no answer and is "
               "done 6 s later",
               jobs);
        front->faults.executesLate = [](const json::object &write) -> std::optional<milliseconds> {
            const auto isHit = [](const json::value &put) {
                return put.at("Key").as_string() == "azurelb/job/" + jobId(hit) + "/record";
            };
            const auto &puts = write.at("Puts").as_array();
            if (std::any_of(puts.begin(), puts.end(), isHit)) {
                record("the write of job %s gets no answer", jobId(hit).c_str());
                return milliseconds{6000};
            }
            return std::nullopt;
        };
    }
    clock_type::time_point acknowledged{};
    for (int index = 0; index < jobs; ++index) {
        const milliseconds deadline{1000};
        // A timed job, due 10.5 s after it was handed in.
        const json::object step{{"Count", 4}, {"Cpu", 1000}, {"MemMb", 256}, {"EstimateMs", 800}};
        const json::object job{{"Spec", "ms=800"},
                               {"Phases", json::array{step}},
                               {"Repeats", 1},
                               {"FirstRunMs", unixMs() + 10'500},
                               {"IntervalMs", 1000}};
        const auto got = co_await all.call(*front, http::verb::post, pathOf(index),
                                           json::serialize(job), deadline);
        if (got.status == 200 && index != hit)
            continue;
        front->faults.executesLate = {};
        if (troubled)
            record("the store answers all calls again");
        for (int attempt = 0; attempt < 3; ++attempt) {
            const auto cancelled = co_await all.call(*front, http::verb::delete_, pathOf(index));
            if (cancelled.status / 100 == 2 || cancelled.status == 410) {
                acknowledged = clock_type::now();
                break;
            }
        }
    }
    if (acknowledged == clock_type::time_point{})
        co_return couldNotRun;
    co_await pause(milliseconds{13'000});
    (void)co_await all.call(*front, http::verb::get, pathOf(hit));
    int late = 0;
    for (const auto &each : all.starts) {
        constexpr milliseconds cancelMs{3000};
        if (each.task.starts_with(jobId(hit)) && each.at > acknowledged + cancelMs) {
            ++late;
            record("UNASKED: %s has started %.3f s after the acknowledgement of its cancelling",
                   each.task.c_str(),
                   std::chrono::duration<double>(each.at - acknowledged).count());
        }
    }
    co_return late != 0 ? ruleBroken : ruleHeld;
}

/** An idle executor loses power for a moment and is back under its id. */
asio::awaitable<int> playQuickRestart(world &all, bool troubled)
{
    all.writeConfig(1);
    executor &first = all.addExecutor("x-1", "m-1", all.service);
    first.cpu = 32'000;
    all.registerExecutor(first);
    all.addExecutor("x-2", "m-2", all.service);
    if (!co_await startDaemons(all, 3))
        co_return couldNotRun;
    (void)co_await all.call(*all.daemons.at(0), http::verb::post, pathOf(0),
                            bodyOf("ms=300", 2, 1000, 300));
    co_await pause(milliseconds{2500});
    if (troubled) {
        record("srv_crash (dark): %s loses power for 0.6 s; its connections carry nothing more",
               first.id.c_str());
        all.losePower(first);
        co_await pause(milliseconds{600});
        // It registers at its first heartbeat (HeartbeatMs is 1,500).
        all.startAgain(first, milliseconds{500});
    }
    for (int index = 1; index < 12; ++index) {
        (void)co_await all.call(*all.daemons.at(index % 3), http::verb::post, pathOf(index),
                                bodyOf("ms=1500", 4, 1000, 1500));
        co_await pause(milliseconds{100});
    }
    co_await pause(milliseconds{8000});
    co_return all.checkTwice() != 0 ? ruleBroken : ruleHeld;
}

/** An executor at work loses power for a moment, while orders for it wait for their connection. */
asio::awaitable<int> playWaitingOrders(world &all, bool troubled)
{
    all.writeConfig(1);
    executor &first = all.addExecutor("x-1", "m-1", all.service);
    first.cpu = 32'000;
    all.registerExecutor(first);
    all.addExecutor("x-2", "m-2", all.service);
    if (!co_await startDaemons(all, 3))
        co_return couldNotRun;
    constexpr int jobs{30};
    constexpr int atJob{5};
    for (int index = 0; index < jobs; ++index) {
        if (troubled && index == atJob) {
            record("srv_crash (dark): %s loses power for 0.6 s; its connections carry nothing more",
                   first.id.c_str());
            all.losePower(first);
        }
        if (troubled && index == atJob + 6)
            all.startAgain(first, milliseconds{50});
        (void)co_await all.call(*all.daemons.at(index % 3), http::verb::post, pathOf(index),
                                bodyOf("ms=1500", 4, 1000, 1500));
        co_await pause(milliseconds{100});
    }
    co_await pause(milliseconds{8000});
    co_return all.checkTwice() != 0 ? ruleBroken : ruleHeld;
}

} // namespace review
