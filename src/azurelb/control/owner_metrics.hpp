#pragma once

#include <azurelb/control/fwd.hpp>
#include <azurelb/metrics/fwd.hpp>
#include <azurelb/scheduling/notices.hpp>
#include <azurelb/scheduling/pool_load.hpp>
#include <azurelb/scheduling/start_outcome.hpp>

#include <prometheus/counter.h>
#include <prometheus/histogram.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace azurelb {

/** Number up to which an incarnation of an executor may forget ends. */
struct acknowledged_ends
{
    executor_id executor{};
    std::int64_t startedUnixMs{0};
    std::int64_t number{0};
};

/**
 * Logs and counts the decisions of an owner. Label values are pools, states and kinds of ends, so
 * the number of series is small.
 */
class owner_metrics
{
public:
    explicit owner_metrics(metrics &registry);

    void record(const scheduling_notices &notices);
    /** Records up to which number ends are acknowledged to executors. */
    static void recordAcknowledgements(const std::vector<acknowledged_ends> &acknowledged);
    void recordElection();
    void recordStart(start_outcome outcome);
    /** Records the answer to a start order that another incarnation of the executor has carried
        out. The clocks are those in the answer and in the order's incarnation. */
    void recordOtherIncarnation(const start_order &order, std::chrono::milliseconds clock,
                                std::chrono::milliseconds expectedClock);
    /** Records that the acknowledgement or lease of a report request was not sent, or has reached
        another incarnation than the one for which it was meant. */
    void recordReach(const report_request &request, const executor_reply &reply);
    /** Records the greatest lateness of the event loop since the last call. */
    void recordEventLoopDelay(std::chrono::milliseconds delay);
    /** Records the age of an input of the owner's decisions. */
    void recordInputAge(std::string_view input, std::chrono::milliseconds age);
    void recordPoolLoads(const std::unordered_map<std::string, pool_load> &loads);

private:
    void write(const job_started_notice &notice);
    void write(const job_ended_notice &notice);
    void write(const run_ended_notice &notice);
    /** See record(), which lists the ends of several executors in one line. */
    void write(const ends_done_notice &) { }
    void write(const end_not_counted_notice &notice);
    void write(const report_not_applied_notice &notice);
    void write(const runs_given_up_notice &notice);
    void write(const earlier_runs_listed_notice &notice);
    void write(const executor_restarted_notice &notice);
    void write(const earlier_leases_over_notice &notice);
    void write(const unread_job_notice &notice);
    void write(const executor_suspended_notice &notice);

    metrics &m_registry;
    /** Metrics that change with each job or run; looked up once. */
    prometheus::Histogram &m_jobWait;
    prometheus::Histogram &m_jobTime;
    std::array<prometheus::Counter *, startOutcomeCount> m_starts{};
};

} // namespace azurelb
