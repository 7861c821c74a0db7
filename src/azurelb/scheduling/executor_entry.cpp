#include <azurelb/scheduling/executor_entry.hpp>
#include <azurelb/scheduling/job_entry.hpp>

#include <algorithm>

namespace azurelb {

assignment makeAssignment(const job_entry &job, const job_step &step, run_number run)
{
    assignment made;
    made.run = run;
    made.reserved = reservation(step);
    made.team = job.record.team;
    made.teamUsage = step.request;
    made.longRunning = step.longRunning;
    made.spread = isSpread(step);
    made.backfill = step.backfill;
    made.serving = step.longRunning && !step.backfill && step.latencyTarget.count() > 0;
    made.latencyTarget = step.latencyTarget;
    made.estimate = step.estimate;
    return made;
}

bool executor_entry::hasLabel(const std::string &label) const
{
    return label.empty()
        || std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

bool isOtherIncarnation(const executor_entry &known, std::int64_t startedUnixMs) noexcept
{
    return known.info.startedUnixMs != 0 && startedUnixMs != 0
        && known.info.startedUnixMs != startedUnixMs;
}

} // namespace azurelb
