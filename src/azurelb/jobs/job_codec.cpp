#include <azurelb/jobs/job_codec.hpp>
#include <azurelb/jobs/job_progress.hpp>
#include <azurelb/jobs/job_record.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace azurelb {

namespace json = boost::json;

namespace {

constexpr std::array allStates{job_state::pending, job_state::running, job_state::completed,
                               job_state::failed, job_state::cancelled};

/** Progress of this size is encoded in a shorter form, since the store limits the size of a value
    (1 MiB). Daemons of earlier versions read only the longer one, which smaller progress keeps. */
constexpr std::size_t longestPlainProgress{262'144};
/** Up to this number, completed occurrences are listed in the form that earlier versions read. */
constexpr std::uint64_t maxListedOccurrences{1000};
/** Bounds on ranges of done tasks: a step has 2,000 tasks at most. */
constexpr std::uint32_t maxTasksOfRange{2000};
constexpr std::size_t maxDoneTasks{1'000'000};

json::array encodeResources(const resources &amount)
{
    return {amount.cpu, amount.memory, amount.accelerators};
}

resources decodeResources(const json::value &value)
{
    const json::array &parts = value.as_array();
    return {parts.at(0).as_int64(), parts.at(1).as_int64(), parts.at(2).as_int64()};
}

json::object encodeStep(const job_step &step)
{
    json::object out{{"tasks", step.taskCount},
                     {"request", encodeResources(step.request)},
                     {"estimate_ms", step.estimate.count()}};
    if (!step.after.empty())
        out["after"] = json::value_from(step.after);
    if (!step.requiredLabel.empty())
        out["label"] = step.requiredLabel;
    if (!step.preferredRack.empty())
        out["rack"] = step.preferredRack;
    if (!step.image.empty())
        out["image"] = step.image;
    if (step.maxPerExecutor != 0)
        out["per_executor"] = step.maxPerExecutor;
    if (step.latencyTarget.count() != 0)
        out["latency_ms"] = step.latencyTarget.count();
    if (step.limitsUnavailable)
        out["max_unavailable"] = step.maxUnavailable;
    const std::array flags{std::pair{"gang", step.gang},
                           std::pair{"same_rack", step.sameRack},
                           std::pair{"checkpoints", step.savesCheckpoints},
                           std::pair{"copies", step.allowsCopies},
                           std::pair{"long_running", step.longRunning},
                           std::pair{"backfill", step.backfill}};
    for (const auto &[name, set] : flags) {
        if (set)
            out[name] = true;
    }
    return out;
}

std::int64_t numberOr(const json::object &in, std::string_view name, std::int64_t absent)
{
    const json::value *const found = in.if_contains(name);
    return found ? found->to_number<std::int64_t>() : absent;
}

std::string textOf(const json::object &in, std::string_view name)
{
    const json::value *const found = in.if_contains(name);
    return found ? std::string{found->as_string()} : std::string{};
}

job_step decodeStep(const json::object &in)
{
    job_step step;
    step.taskCount = in.at("tasks").to_number<std::uint32_t>();
    step.request = decodeResources(in.at("request"));
    step.estimate = std::chrono::milliseconds{numberOr(in, "estimate_ms", 0)};
    if (const json::value *const after = in.if_contains("after"))
        step.after = json::value_to<std::vector<std::uint32_t>>(*after);
    step.requiredLabel = textOf(in, "label");
    step.preferredRack = textOf(in, "rack");
    step.image = textOf(in, "image");
    step.maxPerExecutor = static_cast<std::uint32_t>(numberOr(in, "per_executor", 0));
    step.latencyTarget = std::chrono::milliseconds{numberOr(in, "latency_ms", 0)};
    step.limitsUnavailable = in.contains("max_unavailable");
    step.maxUnavailable = static_cast<std::uint32_t>(numberOr(in, "max_unavailable", 0));
    step.gang = in.contains("gang");
    step.sameRack = in.contains("same_rack");
    step.savesCheckpoints = in.contains("checkpoints");
    step.allowsCopies = in.contains("copies");
    step.longRunning = in.contains("long_running");
    step.backfill = in.contains("backfill");
    return step;
}

task_progress decodeTask(const json::value &value)
{
    const json::array &in = value.as_array();
    return {in.at(0).to_number<std::uint32_t>(),
            in.at(1).to_number<std::uint32_t>(),
            in.at(2).to_number<std::uint32_t>(),
            in.at(3).as_bool(),
            json::value_to<std::vector<run_number>>(in.at(4)),
            in.at(5).to_number<run_number>(),
            std::string{in.at(6).as_string()}};
}

/** Adds the tasks of a range [occurrence, step, first index, last index]. */
void decodeDoneTasks(const json::value &value, std::vector<task_progress> &to)
{
    const json::array &in = value.as_array();
    const auto occurrence = in.at(0).to_number<std::uint32_t>();
    const auto step = in.at(1).to_number<std::uint32_t>();
    const auto first = in.at(2).to_number<std::uint32_t>();
    const auto last = in.at(3).to_number<std::uint32_t>();
    if (last < first || last - first >= maxTasksOfRange
        || to.size() + (last - first) >= maxDoneTasks)
        throw std::out_of_range{"range of done tasks"};
    for (std::uint32_t index = first; index <= last; ++index)
        to.push_back({occurrence, step, index, true, {}, 0, {}});
}

json::array encodeTask(const task_progress &task)
{
    return {
        task.occurrence,   task.step,      task.index, task.done, json::value_from(task.failedRuns),
        task.lastEndedRun, task.checkpoint};
}

/** Lists the completed occurrences one by one or, if there are many, as ranges. */
void encodeCompleted(const number_set &completed, json::object &out)
{
    const bool asRanges = completed.size() > maxListedOccurrences;
    json::array listed;
    for (const number_set::range &each : completed.ranges()) {
        if (asRanges)
            listed.push_back(json::array{each.first, each.last});
        for (std::uint64_t number = each.first; !asRanges && number <= each.last; ++number)
            listed.push_back(json::value(number));
    }
    out[asRanges ? "completed_ranges" : "completed_occurrences"] = std::move(listed);
}

/** Splits off the done tasks, of which nothing else matters, as ranges. */
void encodeTasksShort(const std::vector<task_progress> &tasks, json::object &out)
{
    json::array others;
    json::array ranges;
    const task_progress *previous = nullptr;
    for (const task_progress &each : tasks) {
        if (!each.done) {
            others.push_back(encodeTask(each));
            continue;
        }
        const bool continues = previous && previous->occurrence == each.occurrence
            && previous->step == each.step && previous->index + 1 == each.index;
        if (continues)
            ranges.back().as_array().back() = each.index;
        else
            ranges.push_back(json::array{each.occurrence, each.step, each.index, each.index});
        previous = &each;
    }
    out["tasks"] = std::move(others);
    out["done_tasks"] = std::move(ranges);
}

job_record readJob(const json::object &in)
{
    job_record job;
    job.id = textOf(in, "id");
    job.queue = textOf(in, "queue");
    job.pool = textOf(in, "pool");
    job.team = textOf(in, "team");
    job.configVersion = numberOr(in, "config", 0);
    job.acceptedAt = std::chrono::milliseconds{numberOr(in, "accepted_ms", 0)};
    job.spec = textOf(in, "spec");
    job.maxAttempts = static_cast<std::uint32_t>(numberOr(in, "attempts", 0));
    job.repeats = static_cast<std::uint32_t>(numberOr(in, "repeats", 0));
    job.firstDue = std::chrono::milliseconds{numberOr(in, "first_due_ms", 0)};
    job.interval = std::chrono::milliseconds{numberOr(in, "interval_ms", 0)};
    for (const json::value &each : in.at("steps").as_array())
        job.steps.push_back(decodeStep(each.as_object()));
    return job;
}

job_progress readProgress(const json::object &in)
{
    const std::string state = textOf(in, "state");
    const auto *const found = std::find_if(allStates.begin(), allStates.end(),
                                           [&](job_state each) { return toString(each) == state; });
    job_progress progress;
    progress.state = found == allStates.end() ? job_state::pending : *found;
    progress.endedAt = std::chrono::milliseconds{numberOr(in, "ended_ms", 0)};
    if (const json::value *const completed = in.if_contains("completed_occurrences")) {
        for (const auto each : json::value_to<std::vector<std::uint32_t>>(*completed))
            progress.completedOccurrences.insert(each);
    }
    if (const json::value *const ranges = in.if_contains("completed_ranges")) {
        for (const auto &each : json::value_to<std::vector<std::array<std::uint32_t, 2>>>(*ranges))
            progress.completedOccurrences.insert(each[0], each[1]);
    }
    if (const json::value *const tasks = in.if_contains("tasks")) {
        for (const json::value &each : tasks->as_array())
            progress.tasks.push_back(decodeTask(each));
    }
    if (const json::value *const ranges = in.if_contains("done_tasks")) {
        for (const json::value &each : ranges->as_array())
            decodeDoneTasks(each, progress.tasks);
    }
    return progress;
}

/** Parses the text and applies the reader; nullopt if the text is not a JSON object or the reader
    throws, as Boost.JSON does on a missing or mistyped member. */
template <typename Read>
auto decodeObject(std::string_view text, Read read)
    -> std::optional<decltype(read(std::declval<json::object>()))>
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    try {
        return read(parsed.get_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const job_record &job)
{
    json::array steps;
    for (const job_step &each : job.steps)
        steps.push_back(encodeStep(each));
    json::object out{
        {"id", job.id},     {"queue", job.queue},          {"pool", job.pool},
        {"team", job.team}, {"config", job.configVersion}, {"accepted_ms", job.acceptedAt.count()},
        {"spec", job.spec}, {"steps", std::move(steps)}};
    if (job.maxAttempts != 0)
        out["attempts"] = job.maxAttempts;
    if (job.repeats != 0) {
        out["repeats"] = job.repeats;
        out["first_due_ms"] = job.firstDue.count();
        out["interval_ms"] = job.interval.count();
    }
    return json::serialize(out);
}

std::optional<job_record> decodeJob(std::string_view text)
{
    return decodeObject(text, readJob);
}

std::string encode(const job_progress &progress)
{
    json::object out{{"state", toString(progress.state)}};
    if (progress.endedAt.count() != 0)
        out["ended_ms"] = progress.endedAt.count();
    if (!progress.completedOccurrences.empty())
        encodeCompleted(progress.completedOccurrences, out);
    json::array tasks;
    for (const task_progress &each : progress.tasks)
        tasks.push_back(encodeTask(each));
    if (!tasks.empty())
        out["tasks"] = std::move(tasks);
    std::string plain = json::serialize(out);
    if (plain.size() <= longestPlainProgress)
        return plain;
    encodeTasksShort(progress.tasks, out);
    return json::serialize(out);
}

std::optional<job_progress> decodeProgress(std::string_view text)
{
    return decodeObject(text, readProgress);
}

} // namespace azurelb
