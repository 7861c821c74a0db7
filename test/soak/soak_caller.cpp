#include "soak_caller.hpp"

#include <azurelb/core/await_callback.hpp>
#include <azurelb/http/http_client.hpp>
#include <azurelb/http/http_progress.hpp>
#include <platform/client_pool.hpp>
#include <platform/json_fields.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <utility>

namespace azurelb::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr http_timeouts callLimits{milliseconds{500}, milliseconds{3000}};
constexpr milliseconds retryDelay{250};
constexpr milliseconds pollInterval{300};
constexpr unsigned maxAttempts{8};
constexpr std::uint64_t maxWaitingJobs{1'000'000};
/** Tasks that last as long as this may outlast a takeover. */
constexpr milliseconds longDuration{5000};
constexpr unsigned statusOk{200};
constexpr unsigned statusTooManyRequests{429};
constexpr unsigned statusServiceUnavailable{503};
constexpr unsigned statusGone{410};

json::object jobOf(const std::string &spec, std::uint32_t tasks)
{
    json::object step{{"Count", tasks}, {"Cpu", 1000}, {"MemMb", 512}, {"EstimateMs", 500}};
    return {{"Spec", spec}, {"Phases", json::array{std::move(step)}}};
}

std::string pathOf(const std::string &queue, const job_id &job)
{
    return '/' + queue + '/' + job;
}

} // namespace

soak_caller::soak_caller(asio::io_context &loop, std::vector<endpoint> daemonAddresses,
                         run_audit &audit, unsigned seed)
    : m_loop{loop}
    , m_daemonAddresses{std::move(daemonAddresses)}
    , m_audit{audit}
    , m_random{seed}
{ }

std::size_t soak_caller::draw(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(m_random);
}

void soak_caller::submitJob()
{
    // Some tasks outlast a takeover and the leases of the former owner.
    const bool isLong = draw(8) == 0;
    const std::size_t duration = isLong ? 10'000 + draw(3000) : 100 + draw(1500);
    submitJob(milliseconds{static_cast<milliseconds::rep>(duration)});
}

void soak_caller::submitJob(milliseconds duration)
{
    submitJob(duration, static_cast<std::uint32_t>(1 + draw(6)), draw(10) == 0);
}

soak_caller::planned_job soak_caller::makePlan(milliseconds duration, std::uint32_t tasks)
{
    planned_job plan;
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%08zx%08zx", draw(1U << 31U), draw(1U << 31U));
    plan.id = id.data();
    plan.spec = std::to_string(duration.count());
    plan.tasks = tasks;
    plan.body = json::serialize(jobOf(plan.spec, tasks));
    m_audit.submitted(plan.id, plan.spec);
    return plan;
}

void soak_caller::submitAndCancel(std::size_t submitAt, std::size_t cancelAt, milliseconds pause)
{
    constexpr milliseconds duration{500};
    const planned_job plan = makePlan(duration, 2);
    asio::co_spawn(m_loop, call(submitAt, http::verb::post, pathOf(plan.queue, plan.id), plan.body),
                   asio::detached);
    ++m_active;
    asio::co_spawn(m_loop, cancelDuring(plan, cancelAt, pause), asio::detached);
}

void soak_caller::submitHopelessGang()
{
    constexpr std::uint32_t members{2000};
    planned_job plan = makePlan(milliseconds{500}, members);
    json::object job = jobOf(plan.spec, members);
    job["Phases"].at(0).as_object()["Gang"] = true;
    plan.body = json::serialize(job);
    plan.queue = "urgent";
    startUnfollowed(std::move(plan));
}

void soak_caller::submitOverdueOccurrences()
{
    constexpr milliseconds duration{50};
    planned_job plan = makePlan(duration, 1);
    json::object job = jobOf(plan.spec, 1);
    job["Repeats"] = 100'000;
    job["IntervalMs"] = 60'000;
    plan.body = json::serialize(job);
    startUnfollowed(std::move(plan));
}

void soak_caller::submitScheduledJob()
{
    constexpr std::uint32_t repeats{3};
    constexpr milliseconds interval{400};
    planned_job plan = makePlan(milliseconds{300}, 2);
    plan.repeats = repeats;
    json::object job = jobOf(plan.spec, plan.tasks);
    job["Repeats"] = repeats;
    job["FirstRunMs"] = unixNow().count();
    job["IntervalMs"] = interval.count();
    plan.body = json::serialize(job);
    ++m_active;
    asio::co_spawn(m_loop, follow(std::move(plan)), asio::detached);
}

void soak_caller::startUnfollowed(planned_job plan)
{
    // Nothing is owed for it.
    m_audit.cancelled(plan.id);
    ++m_active;
    asio::co_spawn(m_loop, submitUnfollowed(std::move(plan)), asio::detached);
}

asio::awaitable<void> soak_caller::submitUnfollowed(planned_job plan)
{
    (void)co_await submit(plan);
    --m_active;
}

asio::awaitable<void> soak_caller::cancelDuring(planned_job plan, std::size_t cancelAt,
                                                milliseconds pause)
{
    co_await sleepFor(pause);
    m_audit.cancelled(plan.id);
    const call_answer answer =
        co_await call(cancelAt, http::verb::delete_, pathOf(plan.queue, plan.id), {});
    if (answer.status == statusGone)
        m_audit.reportedUnknown(plan.id);
    --m_active;
}

void soak_caller::submitJob(milliseconds duration, std::uint32_t tasks, bool cancels)
{
    planned_job plan = makePlan(duration, tasks);
    plan.cancels = cancels;
    if (duration >= longDuration)
        m_longJobs.insert(plan.id);
    ++m_active;
    asio::co_spawn(m_loop, follow(std::move(plan)), asio::detached);
}

asio::awaitable<void> soak_caller::sleepFor(milliseconds time)
{
    asio::steady_timer timer{m_loop, time};
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<soak_caller::call_answer>
soak_caller::call(http::verb method, const std::string &path, std::string body)
{
    co_return co_await call(draw(m_daemonAddresses.size()), method, path, std::move(body));
}

asio::awaitable<soak_caller::call_answer> soak_caller::call(std::size_t daemon, http::verb method,
                                                            std::string path, std::string body)
{
    auto client = std::make_shared<http_client>(m_loop, m_daemonAddresses.at(daemon));
    http_request request = platform::makeRequest(method, path, "soak.example", std::move(body));
    request.set(http::field::authorization, "Token key-1");
    request.set("X-Deadline-Ms", std::to_string(callLimits.total.count()));
    const auto outcome = co_await awaitCallback<http_outcome>(m_loop, [&](auto done) {
        client->call(std::move(request), callLimits,
                     [done, client](http_outcome &&each) { done(each); });
    });
    if (!outcome || outcome->progress != http_progress::answered)
        co_return call_answer{};
    co_return call_answer{outcome->response.result_int(), outcome->response.body()};
}

/** Returns whether the job was accepted; tells the audit if every attempt was refused. */
asio::awaitable<bool> soak_caller::submit(const planned_job &plan)
{
    bool uncertain = false;
    for (unsigned attempt = 0; attempt < maxAttempts; ++attempt) {
        const call_answer answer =
            co_await call(http::verb::post, pathOf(plan.queue, plan.id), plan.body);
        if (answer.status == statusOk)
            co_return true;
        uncertain = uncertain
            || (answer.status != statusTooManyRequests
                && answer.status != statusServiceUnavailable);
        co_await sleepFor(retryDelay);
    }
    if (!uncertain)
        m_audit.refused(plan.id);
    co_return false;
}

asio::awaitable<bool> soak_caller::cancel(const planned_job &plan)
{
    // Recorded before the call, because its answer may be lost.
    m_audit.cancelled(plan.id);
    const call_answer answer = co_await call(http::verb::delete_, pathOf(plan.queue, plan.id), {});
    co_return answer.status == statusOk || answer.status == statusGone;
}

void soak_caller::askForWaitingJobs()
{
    asio::co_spawn(m_loop, checkWaitingJobs(), asio::detached);
}

asio::awaitable<void> soak_caller::checkWaitingJobs()
{
    const boot_time askedAt = boot_clock::now();
    const call_answer answer = co_await call(http::verb::get, "/plans/", {});
    const auto body = platform::parseObject(answer.body);
    if (answer.status == statusOk && body)
        m_audit.waiting(platform::countOf(*body, "Waiting", maxWaitingJobs), askedAt);
}

asio::awaitable<void> soak_caller::follow(planned_job plan)
{
    const bool accepted = co_await submit(plan);
    if (accepted) {
        m_audit.accepted(plan.id, boot_clock::now());
        co_await sleepFor(pollInterval);
    }
    bool over = !accepted;
    while (!over) {
        if (plan.cancels) {
            over = co_await cancel(plan);
            co_await sleepFor(pollInterval);
            continue;
        }
        const call_answer answer = co_await call(http::verb::get, pathOf(plan.queue, plan.id), {});
        if (answer.status == statusGone)
            m_audit.addViolation("an accepted job is unknown to the daemon: " + plan.id);
        const auto body = platform::parseObject(answer.body);
        const std::string state =
            body ? platform::textOf(*body, "State").value_or("") : std::string{};
        if (state == "completed")
            m_audit.completed(plan.id, std::max(plan.repeats, 1U), plan.tasks);
        if (state == "failed")
            m_audit.ended(plan.id);
        if (state == "cancelled")
            m_audit.addViolation("a job was cancelled without a request: " + plan.id);
        over = answer.status == statusGone || state == "completed" || state == "failed"
            || state == "cancelled";
        co_await sleepFor(pollInterval);
    }
    --m_active;
}

} // namespace azurelb::soak
