#include <azurelb/scheduling/scheduler.hpp>

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

namespace {

using namespace azurelb;
using std::chrono::milliseconds;

constexpr char jobName[]{"aaaaaaaaaaaaaaaa"};
constexpr std::uint32_t tasksOfStep{2000};

executor_registration registration(const std::string &id, std::int64_t cores)
{
    executor_registration info;
    info.id = id;
    info.address = id;
    info.pool = "pool";
    info.zone = "zone";
    info.capacity = {cores * 1000, 1'000'000, 0};
    info.startedUnixMs = 1;
    return info;
}

/** A job of steps of 2,000 tasks of a thousandth of a core each. */
job_record makeJob(std::uint32_t steps)
{
    job_record job;
    job.id = jobName;
    job.queue = "queue";
    job.pool = "pool";
    job.steps.resize(steps);
    for (job_step &each : job.steps) {
        each.taskCount = tasksOfStep;
        each.request = {1, 1, 0};
        each.estimate = std::chrono::minutes{1};
    }
    return job;
}

void addExecutor(scheduler &to, const std::string &id, boot_time now)
{
    to.registerExecutor(registration(id, 64), now);
    to.executors().find(id)->ownershipRecorded = true;
    executor_report report;
    report.startedUnixMs = 1;
    to.applyReport(id, report, now, now);
}

/** Time for a report of one executor that lists all of its runs, by their number. */
void reportOfManyRuns(benchmark::State &state)
{
    boot_time now{std::chrono::seconds{1000}};
    scheduler scheduling{{}, 0};
    addExecutor(scheduling, "executor", now);
    scheduling.addJob(makeJob(static_cast<std::uint32_t>(state.range(0)) / tasksOfStep), {}, 0,
                      false, now);
    scheduling.advance(now, {}, now);
    executor_report report;
    report.startedUnixMs = 1;
    for (const executor_order &each : scheduling.takeOrders()) {
        const auto &start = std::get<start_order>(each);
        scheduling.applyStartOutcome(start, start_outcome::started, now);
        report.running.push_back({start.task, start.run, {}, 50, 0});
    }
    for (auto each : state) {
        (void)each;
        now += milliseconds{100};
        scheduling.applyReport("executor", report, now, now);
    }
}

/** Time for placing a step whose tasks are spread over 100 executors, on which the number of other
    runs is given. */
void placementOfASpreadStep(benchmark::State &state)
{
    constexpr std::uint32_t executorCount{100};
    for (auto each : state) {
        (void)each;
        state.PauseTiming();
        boot_time now{std::chrono::seconds{1000}};
        scheduler scheduling{{}, 0};
        for (std::uint32_t index = 0; index < executorCount; ++index)
            addExecutor(scheduling, "executor" + std::to_string(index), now);
        scheduling.addJob(makeJob(static_cast<std::uint32_t>(state.range(0)) / tasksOfStep), {}, 0,
                          false, now);
        scheduling.advance(now, {}, now);
        job_record spread = makeJob(1);
        spread.id = "bbbbbbbbbbbbbbbb";
        spread.steps.front().maxPerExecutor = tasksOfStep / executorCount;
        scheduling.addJob(spread, {}, 0, false, now);
        now += milliseconds{50};
        state.ResumeTiming();
        scheduling.advance(now, {}, now);
        state.PauseTiming();
        benchmark::DoNotOptimize(scheduling.takeOrders());
        state.ResumeTiming();
    }
}

BENCHMARK(reportOfManyRuns)->Arg(2000)->Arg(20'000)->Unit(benchmark::kMillisecond)->Iterations(5);
BENCHMARK(placementOfASpreadStep)
    ->Arg(2000)
    ->Arg(20'000)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

} // namespace
