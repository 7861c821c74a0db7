#include <azurelb/control/executor_gateway.hpp>
#include <azurelb/control/owner_metrics.hpp>
#include <azurelb/log/log.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/scheduling/orders.hpp>
#include <azurelb/scheduling/start_outcome.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <algorithm>
#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace azurelb {

namespace {

/** Histogram buckets in seconds; job objectives lie between 1 and 20 s. */
const std::vector<double> bucketBoundsS{0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 8, 13, 21};
constexpr double millisPerSecond{1000};
/** Runs in one log line, which is cut off at 4,095 bytes. */
constexpr std::size_t maxRunsPerLine{20};
/** The same for ends as done, each possibly with its executor, and for acknowledgements. */
constexpr std::size_t maxEndsPerLine{40};
constexpr std::size_t maxAcknowledgementsPerLine{60};

double inSeconds(std::chrono::milliseconds time)
{
    return static_cast<double>(time.count()) / millisPerSecond;
}

/** Returns TASK:RUN of each run, separated by commas. */
std::string listOf(std::span<const task_run> runs)
{
    std::string list;
    for (const task_run &each : runs) {
        if (!list.empty())
            list += ',';
        list += toString(each.task) + ':' + std::to_string(each.run);
    }
    return list;
}

/** Calls the function with the list of each line, at least once. */
void forEachLine(event id, const std::vector<task_run> &runs,
                 const std::function<void(const std::string &list)> &write)
{
    std::span<const task_run> left{runs};
    do {
        const auto line = left.first(std::min(left.size(), maxRunsPerLine));
        if (mayLog(id))
            write(listOf(line));
        left = left.subspan(line.size());
    } while (!left.empty());
}

/** Returns EXECUTOR/BORN/NUMBER. */
std::string nameOf(const executor_id &executor, std::int64_t startedUnixMs, std::int64_t number)
{
    return executor + '/' + std::to_string(startedUnixMs) + '/' + std::to_string(number);
}

/** Lists the ends of all executors in as few lines as possible: under load, a line for each would
    cost the owner more than the scheduling of the runs. */
void writeEndsDone(const std::vector<const ends_done_notice *> &done)
{
    if (done.empty() || !mayLog(event::ends_done))
        return;
    std::string list;
    std::size_t listed = 0;
    for (const ends_done_notice *const each : done) {
        const std::string from = nameOf(each->executor, each->startedUnixMs, each->lastNumber);
        bool isNamed = false;
        for (const task_run &run : each->runs) {
            if (listed++ == maxEndsPerLine) {
                logEvent(event::ends_done, {{"ends", std::exchange(list, {})}});
                listed = 1;
                isNamed = false;
            }
            if (std::exchange(isNamed, true))
                list += ',';
            else
                list += (list.empty() ? "" : " ") + from + '=';
            list += toString(run.task) + ':' + std::to_string(run.run);
        }
    }
    logEvent(event::ends_done, {{"ends", list}});
}

} // namespace

owner_metrics::owner_metrics(metrics &registry)
    : m_registry{registry}
    , m_jobWait{registry.histogram("azurelb_job_wait_seconds",
                                   "Time from acceptance of a job to its first start.",
                                   bucketBoundsS)}
    , m_jobTime{registry.histogram(
          "azurelb_job_seconds", "Time from acceptance of a job to its completion.", bucketBoundsS)}
{ }

void owner_metrics::record(const scheduling_notices &notices)
{
    std::vector<const ends_done_notice *> done;
    for (const scheduling_notice &each : notices) {
        if (const auto *const ends = std::get_if<ends_done_notice>(&each))
            done.push_back(ends);
    }
    writeEndsDone(done);
    for (const scheduling_notice &notice : notices)
        std::visit([this](const auto &each) { write(each); }, notice);
}

void owner_metrics::recordAcknowledgements(const std::vector<acknowledged_ends> &acknowledged)
{
    if (acknowledged.empty() || !mayLog(event::ends_acknowledged))
        return;
    std::string list;
    std::size_t listed = 0;
    for (const acknowledged_ends &each : acknowledged) {
        if (listed++ == maxAcknowledgementsPerLine) {
            logEvent(event::ends_acknowledged, {{"up_to", std::exchange(list, {})}});
            listed = 1;
        }
        if (!list.empty())
            list += ' ';
        list += nameOf(each.executor, each.startedUnixMs, each.number);
    }
    logEvent(event::ends_acknowledged, {{"up_to", list}});
}

void owner_metrics::write(const job_started_notice &notice)
{
    m_jobWait.Observe(inSeconds(notice.waited));
}

void owner_metrics::write(const job_ended_notice &notice)
{
    logEvent(event::job_ended,
             {{"job", notice.job},
              {"queue", notice.queue},
              {"state", toString(notice.state)},
              {"elapsed_ms", notice.elapsed.count()},
              {"objective_ms", notice.objective.count()}});
    m_registry
        .counter("azurelb_jobs_ended_total", "Jobs that have ended.",
                 {{"state", std::string{toString(notice.state)}}})
        .Increment();
    if (notice.state == job_state::completed)
        m_jobTime.Observe(inSeconds(notice.elapsed));
}

void owner_metrics::write(const run_ended_notice &notice)
{
    logEvent(event::run_ended,
             {{"task", toString(notice.task)},
              {"run", notice.run},
              {"end", toString(notice.end)},
              {"executor", notice.executor},
              {"born", notice.startedUnixMs},
              {"number", notice.number}});
    m_registry
        .counter("azurelb_runs_interrupted_total", "Runs that did not complete their task.",
                 {{"end", std::string{toString(notice.end)}}})
        .Increment();
}

void owner_metrics::write(const end_not_counted_notice &notice)
{
    logEvent(event::end_not_counted,
             {{"task", toString(notice.end.task)},
              {"run", notice.end.run},
              {"end", toString(notice.end.end)},
              {"executor", notice.executor},
              {"born", notice.startedUnixMs},
              {"number", notice.end.sequence},
              {"reason", notice.reason}});
    m_registry
        .counter("azurelb_ends_not_counted_total", "Reported ends of runs that count for nothing.",
                 {{"reason", std::string{notice.reason}}})
        .Increment();
}

void owner_metrics::write(const report_not_applied_notice &notice)
{
    logEvent(event::report_not_applied,
             {{"executor", notice.executor},
              {"born", notice.startedUnixMs},
              {"known_born", notice.knownStartedUnixMs},
              {"reason", "former incarnation"}});
    m_registry
        .counter("azurelb_reports_not_applied_total",
                 "Reports of former incarnations of executors, which were ignored.")
        .Increment();
}

void owner_metrics::write(const runs_given_up_notice &notice)
{
    const std::string reportAge =
        notice.reportAge ? std::to_string(notice.reportAge->count()) : std::string{"none"};
    forEachLine(event::run_given_up, notice.runs, [&](const std::string &list) {
        logEvent(event::run_given_up,
                 {{"executor", notice.executor},
                  {"born", notice.startedUnixMs},
                  {"reason", toString(notice.reason)},
                  {"report_age_ms", reportAge},
                  {"lease_over_ms", notice.leaseOver.count()},
                  {"runs", list}});
    });
    m_registry
        .counter("azurelb_runs_given_up_total",
                 "Runs that count as ended although their executor did not report their end.",
                 {{"reason", std::string{toString(notice.reason)}}})
        .Increment(static_cast<double>(notice.runs.size()));
}

void owner_metrics::write(const earlier_runs_listed_notice &notice)
{
    forEachLine(event::earlier_runs_listed, notice.running, [&notice](const std::string &list) {
        logEvent(event::earlier_runs_listed,
                 {{"executor", notice.executor},
                  {"born", notice.startedUnixMs},
                  {"ended", notice.ended},
                  {"first_end", notice.firstEnd},
                  {"running", list}});
    });
}

void owner_metrics::write(const executor_restarted_notice &notice)
{
    logEvent(event::executor_restarted,
             {{"executor", notice.executor},
              {"born", notice.startedUnixMs},
              {"ended_runs", notice.endedRuns},
              {"undecided_runs", notice.undecidedRuns}});
    m_registry
        .counter("azurelb_executors_restarted_total",
                 "Restarts of executors under their identifiers.")
        .Increment();
}

void owner_metrics::write(const earlier_leases_over_notice &notice)
{
    logEvent(event::earlier_leases_over,
             {{"executor", notice.executor}, {"born", notice.startedUnixMs}});
    m_registry
        .counter("azurelb_executors_unheard_total",
                 "Executors of earlier owners that did not answer before their leases ended.")
        .Increment();
}

void owner_metrics::write(const unread_job_notice &notice)
{
    logEvent(event::run_undecided,
             {{"executor", notice.executor}, {"job", notice.job}, {"born", notice.startedUnixMs}});
    m_registry
        .counter("azurelb_runs_undecided_total",
                 "Reports of runs of jobs that the owner had not read yet.")
        .Increment();
}

void owner_metrics::write(const executor_suspended_notice &notice)
{
    logEvent(event::executor_suspended, {{"executor", notice.executor}, {"reason", notice.reason}});
    m_registry.counter("azurelb_executors_suspended_total", "Suspensions of executors.")
        .Increment();
}

void owner_metrics::recordElection()
{
    m_registry.counter("azurelb_owner_elections_total", "Times this daemon was elected owner.")
        .Increment();
}

void owner_metrics::recordStart(start_outcome outcome)
{
    prometheus::Counter *&counter = m_starts[static_cast<std::size_t>(outcome)];
    if (!counter)
        counter = &m_registry.counter("azurelb_starts_total", "Orders to start a run, by outcome.",
                                      {{"outcome", std::string{toString(outcome)}}});
    counter->Increment();
}

void owner_metrics::recordOtherIncarnation(const start_order &order,
                                           std::chrono::milliseconds clock,
                                           std::chrono::milliseconds expectedClock)
{
    logEvent(event::order_on_other_incarnation,
             {{"executor", order.executor},
              {"task", toString(order.task)},
              {"run", order.run},
              {"clock_ms", clock.count()},
              {"expected_ms", expectedClock.count()}});
    m_registry
        .counter("azurelb_orders_on_other_incarnation_total",
                 "Start orders that another incarnation of their executor has carried out.")
        .Increment();
}

void owner_metrics::recordReach(const report_request &request, const executor_reply &reply)
{
    const event line =
        reply.reduced ? event::acknowledgement_withheld : event::report_on_other_incarnation;
    logEvent(line,
             {{"executor", request.executor},
              {"expected_born", request.startedUnixMs},
              {"born", reply.report.startedUnixMs},
              {"up_to", request.acknowledged},
              {"lease_end_ms",
               request.leaseEnd ? std::to_string(request.leaseEnd->count()) : std::string{"none"}},
              {"clock_ms", reply.report.clock.count()}});
    if (reply.reduced)
        m_registry
            .counter("azurelb_acknowledgements_withheld_total",
                     "Report requests that were sent without acknowledgement and lease.")
            .Increment();
    else
        m_registry
            .counter("azurelb_reports_on_other_incarnation_total",
                     "Report requests with an acknowledgement or lease that another incarnation of "
                     "their executor has answered.")
            .Increment();
}

void owner_metrics::recordEventLoopDelay(std::chrono::milliseconds delay)
{
    m_registry
        .gauge("azurelb_event_loop_delay_seconds",
               "Greatest lateness of the owner's timer in the last half second.")
        .Set(inSeconds(delay));
}

void owner_metrics::recordInputAge(std::string_view input, std::chrono::milliseconds age)
{
    m_registry
        .gauge("azurelb_input_age_seconds", "Age of the inputs of the owner's decisions, by input.",
               {{"input", std::string{input}}})
        .Set(inSeconds(age));
}

void owner_metrics::recordPoolLoads(const std::unordered_map<std::string, pool_load> &loads)
{
    constexpr double millisPerCore{1000};
    for (const auto &[pool, load] : loads) {
        const auto set = [this, name = pool](const char *metric, const char *help, double value) {
            m_registry.gauge(metric, help, {{"pool", name}}).Set(value);
        };
        set("azurelb_pool_open_cores", "Cores requested by open tasks.",
            static_cast<double>(load.demand.cpu) / millisPerCore);
        set("azurelb_pool_long_running_cores", "Cores requested by long-running tasks.",
            static_cast<double>(load.longRunningDemand.cpu) / millisPerCore);
        set("azurelb_pool_executors", "Executors that accept new runs.",
            static_cast<double>(load.executors));
    }
}

} // namespace azurelb
