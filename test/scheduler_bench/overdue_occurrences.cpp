#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/scheduling/scheduler.hpp>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace {

using namespace azurelb;
using std::chrono::milliseconds;

constexpr char jobName[]{"aaaaaaaaaaaaaaaa"};
constexpr std::size_t executorCount{3};
/** Rounds in which all runs end. */
constexpr int rounds{20};

std::string executorName(std::size_t index)
{
    return "executor" + std::to_string(index);
}

/** A pool of three executors and scheduled jobs whose occurrences are all due. */
class overdue_jobs
{
public:
    overdue_jobs(std::uint32_t repeats, std::uint32_t tasks, std::int64_t jobs)
    {
        for (std::size_t index = 0; index < executorCount; ++index) {
            executor_registration info;
            info.id = executorName(index);
            info.address = info.id;
            info.pool = "pool";
            info.zone = "zone";
            info.capacity = {64'000, 131'072, 0};
            info.startedUnixMs = 1;
            m_scheduler.registerExecutor(info, m_now);
            m_scheduler.executors().find(info.id)->ownershipRecorded = true;
            reportAllDone(index);
        }
        job_record job;
        job.queue = "queue";
        job.pool = "pool";
        job.repeats = repeats;
        job.interval = std::chrono::minutes{1};
        job.steps.resize(1);
        job.steps.front().taskCount = tasks;
        job.steps.front().request = {500, 64, 0};
        job.steps.front().estimate = milliseconds{50};
        for (std::int64_t index = 0; index < jobs; ++index) {
            job.id = index == 0 ? jobName : std::to_string(1'000'000'000'000'000 + index);
            m_scheduler.addJob(job, {}, 0, false, m_now);
        }
    }

    /** Handles one event after the other; returns the longest. */
    std::chrono::duration<double, std::milli> longestEvent()
    {
        std::chrono::duration<double, std::milli> longest{};
        const auto measure = [&](auto event) {
            const auto begun = std::chrono::steady_clock::now();
            event();
            longest = std::max<std::chrono::duration<double, std::milli>>(
                longest, std::chrono::steady_clock::now() - begun);
        };
        for (int round = 0; round < rounds; ++round) {
            m_now += milliseconds{50};
            measure([this] { m_scheduler.advance(m_now, std::chrono::hours{1'000'000}, m_now); });
            for (const executor_order &each : m_scheduler.takeOrders()) {
                if (const auto *const start = std::get_if<start_order>(&each))
                    m_scheduler.applyStartOutcome(*start, start_outcome::started, m_now);
            }
            benchmark::DoNotOptimize(m_scheduler.takeNotices());
            for (std::size_t index = 0; index < executorCount; ++index)
                measure([this, index] { reportAllDone(index); });
            measure([this] { progressBytes = storedBytes(); });
        }
        return longest;
    }

    std::size_t progressBytes{0};

private:
    void reportAllDone(std::size_t index)
    {
        executor_entry &executor = *m_scheduler.executors().find(executorName(index));
        executor_report report;
        report.startedUnixMs = 1;
        std::int64_t number = executor.lastProcessedEnd;
        for (const auto &[task, held] : executor.assignments)
            report.ended.push_back({++number, task, held.run, run_end::done, {}});
        m_scheduler.applyReport(executor.info.id, report, m_now, m_now);
        executor.lastStoredEnd = executor.lastProcessedEnd;
    }

    std::size_t storedBytes()
    {
        return encode(job_table::progressOf(*m_scheduler.jobs().find(jobName))).size();
    }

    boot_time m_now{std::chrono::seconds{1000}};
    scheduler m_scheduler{{}, 0};
};

/** Longest event of an owner, its memory and the stored progress, by the number of occurrences that
    are due, of tasks in each, and of such jobs. */
void overdueOccurrences(benchmark::State &state)
{
    for (auto each : state) {
        (void)each;
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        overdue_jobs jobs{static_cast<std::uint32_t>(state.range(0)),
                          static_cast<std::uint32_t>(state.range(1)), state.range(2)};
        state.counters["longest_ms"] = jobs.longestEvent().count();
        state.counters["heap_mb"] =
            static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before) / 1e6;
        state.counters["progress_bytes"] = static_cast<double>(jobs.progressBytes);
    }
}

BENCHMARK(overdueOccurrences)
    ->Args({20, 1, 1})
    ->Args({1000, 1, 1})
    ->Args({10'000, 1, 1})
    ->Args({100'000, 1, 1})
    ->Args({100'000, 1, 30})
    ->Args({100, 2000, 1})
    ->Args({1000, 200, 1})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

} // namespace
