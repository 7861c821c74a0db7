#include "executor_endpoint.hpp"

#include <azurelb/http/http_limits.hpp>
#include <azurelb/http/problem_response.hpp>
#include <azurelb/scheduling/executor_report.hpp>
#include <azurelb/scheduling/orders.hpp>
#include <azurelb/scheduling/start_outcome.hpp>
#include <platform/json_fields.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>

namespace azurelb::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr resources executorCapacity{1000 * executor_endpoint::maxRuns, 65'536, 0};
constexpr char startField[]{"born"};
constexpr milliseconds reportPollInterval{20};
/** Exceeds the longest wait for a report and its margin, so that the caller gives up first. */
constexpr milliseconds abandonedRequestTime{4000};
/** Time that a request to an executor that closes each connection takes. A restart in between makes
    it reach the next incarnation. */
constexpr milliseconds requestTransit{25};
/** Time that a response takes to reach its caller, at most. */
constexpr milliseconds responseTransit{250};
/** On average, one run out of this number fails. */
constexpr std::size_t runsPerFailure{40};

const char *endName(run_end end)
{
    constexpr std::array words{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return words.at(static_cast<std::size_t>(end));
}

const char *reasonName(start_outcome outcome)
{
    switch (outcome) {
    case start_outcome::fenced:
        return "fence";
    case start_outcome::outdated:
        return "old";
    case start_outcome::expired:
        return "late";
    default:
        return "room";
    }
}

executor_registration describe(const std::string &id)
{
    executor_registration info;
    info.id = id;
    info.pool = "pool";
    info.zone = "zone-a";
    info.vm = "m-" + id;
    info.capacity = executorCapacity;
    info.startedUnixMs = unixNow().count();
    return info;
}

json::object entry(const executor_registration &info, const std::string &address)
{
    return {{"Service", info.pool},
            {"Address", address},
            {"Zone", info.zone},
            {"State", "ready"},
            {"Machine", info.vm},
            {"FreeCapacity",
             json::object{{"Cpu", executorCapacity.cpu}, {"MemMb", executorCapacity.memory}}},
            {"Labels", json::array{"std", "r1-1"}},
            {startField, info.startedUnixMs}};
}

/** The specification is the duration in milliseconds; a hash of task and run decides failure. */
test::run_plan planOf(const std::string &spec, const task_id &task, run_number run)
{
    int duration = 0;
    std::from_chars(spec.data(), spec.data() + spec.size(), duration);
    const std::size_t draw = std::hash<std::string>{}(toString(task) + std::to_string(run));
    return {milliseconds{duration}, draw % runsPerFailure == 0 ? run_end::failed : run_end::done};
}

std::optional<task_id> taskOf(const json::object &in)
{
    return parseTaskId(platform::textOf(in, "Task").value_or(""));
}

http_response reply(http::status status, json::object body, milliseconds clock)
{
    body["ClockMs"] = clock.count();
    return jsonResponse(status, json::serialize(body));
}

} // namespace

executor_endpoint::executor_endpoint(asio::io_context &loop, std::string id, run_audit &audit,
                                     run_counter countRuns, double clockRate)
    : m_loop{loop}
    , m_id{std::move(id)}
    , m_audit{audit}
    , m_countRuns{std::move(countRuns)}
    , m_model{describe(m_id), clockRate, boot_clock::now()}
    , m_startedAt{boot_clock::now()}
    , m_server{loop, "127.0.0.1:0", {}, [this](const http_request &request) {
                   return serve(request);
               }}
{
    m_model.maxLease = maxLease;
    m_server.start();
}

std::string executor_endpoint::registration(const std::string &address) const
{
    return json::serialize(entry(m_model.info(), address));
}

std::string executor_endpoint::unnamedRegistration(const std::string &address) const
{
    json::object unnamed = entry(m_model.info(), address);
    unnamed.erase(startField);
    return json::serialize(unnamed);
}

std::string executor_endpoint::vmEntry(const std::string &state) const
{
    const executor_registration &info = m_model.info();
    return json::serialize(json::object{
        {"Machine", info.vm},
        {"Pool", info.pool},
        {"State", state},
        {"Zone", info.zone},
        {"FreeCapacity",
         json::object{{"Cpu", executorCapacity.cpu}, {"MemMb", executorCapacity.memory}}},
        {"Labels", json::array{"std", "r1-1"}},
        {"Id", info.id}});
}

void executor_endpoint::advance(boot_time now)
{
    m_model.advance(now);
    for (const ended_run &each : m_model.ended()) {
        m_endedAt.try_emplace(each.sequence, now);
        if (each.end == run_end::done)
            m_audit.done(each.task);
    }
}

void executor_endpoint::crash(boot_time now)
{
    advance(now);
    m_model.crash(now);
    m_endedAt.clear();
    m_lastListed = 0;
    m_firstAnswers.clear();
    m_keptConnections = false;
}

void executor_endpoint::crashBehindIntermediary(boot_time now)
{
    crash(now);
    m_keptConnections = true;
}

void executor_endpoint::closeConnections() noexcept
{
    m_closesConnections = true;
    m_server.announceClose();
}

bool executor_endpoint::mayMistakeIncarnation(std::int64_t token, boot_time now) const
{
    if (!m_keptConnections && !m_closesConnections)
        return false;
    const auto answered = m_firstAnswers.find(token);
    return answered == m_firstAnswers.end() || now < answered->second + responseTransit;
}

std::ptrdiff_t executor_endpoint::countUnlisted(std::int64_t acknowledged) const
{
    return std::count_if(m_model.ended().begin(), m_model.ended().end(),
                         [this, acknowledged](const ended_run &each) {
                             return each.sequence <= acknowledged && each.sequence > m_lastListed;
                         });
}

executor_endpoint::answer executor_endpoint::abandon()
{
    if (m_keptConnections) {
        asio::steady_timer timer{m_loop, abandonedRequestTime};
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return reply(http::status::service_unavailable, {}, m_model.clock(boot_clock::now()));
}

executor_endpoint::answer executor_endpoint::serve(const http_request &request)
{
    if (m_closesConnections) {
        asio::steady_timer timer{m_loop, requestTransit};
        co_await timer.async_wait(asio::use_awaitable);
    }
    const std::string target{request.target().data(), request.target().size()};
    if (request["X-Target-Instance"] != m_id)
        co_return reply(http::status::misdirected_request, {}, milliseconds{0});
    advance(boot_clock::now());
    if (target == "/azurelb/run-start")
        co_return start(request.body());
    if (target == "/azurelb/run-stop")
        co_return stop(request.body());
    if (target == "/azurelb/hold")
        co_return co_await report(request.body());
    co_return reply(http::status::bad_request, {}, m_model.clock(boot_clock::now()));
}

http_response executor_endpoint::start(const std::string &body)
{
    const auto in = platform::parseObject(body);
    const auto task = in ? taskOf(*in) : std::nullopt;
    if (!task)
        return reply(http::status::bad_request, {}, m_model.clock(boot_clock::now()));
    start_order order;
    order.task = *task;
    order.run = platform::integerOf(*in, "RunId").value_or(0);
    order.spec = platform::textOf(*in, "Spec").value_or("");
    order.leaseEnd = milliseconds{platform::integerOf(*in, "ExpiresMs").value_or(0)};
    const std::size_t before = m_model.running().size();
    const std::size_t otherRuns = m_countRuns(*task);
    // Not before the count, which takes note of ends on other executors: they precede this start.
    const boot_time now = boot_clock::now();
    const start_outcome outcome =
        m_model.start(order, platform::integerOf(*in, "FencingToken").value_or(0),
                      planOf(order.spec, *task, order.run), now);
    if (m_model.running().size() > before)
        m_audit.started(*task, order.spec, otherRuns, now);
    if (outcome == start_outcome::started)
        return reply(http::status::ok, {}, m_model.clock(now));
    return reply(http::status::conflict, {{"Reason", reasonName(outcome)}}, m_model.clock(now));
}

http_response executor_endpoint::stop(const std::string &body)
{
    const boot_time now = boot_clock::now();
    const auto in = platform::parseObject(body);
    const auto task = in ? taskOf(*in) : std::nullopt;
    if (!task)
        return reply(http::status::bad_request, {}, m_model.clock(now));
    const stop_order order{m_id, *task, platform::integerOf(*in, "RunId").value_or(0)};
    const start_outcome outcome =
        m_model.stop(order, platform::integerOf(*in, "FencingToken").value_or(0), now);
    if (outcome == start_outcome::started)
        return reply(http::status::ok, {}, m_model.clock(now));
    return reply(http::status::conflict, {{"Reason", "fence"}}, m_model.clock(now));
}

executor_endpoint::answer executor_endpoint::report(const std::string &body)
{
    const auto in = platform::parseObject(body);
    if (!in)
        co_return reply(http::status::bad_request, {}, m_model.clock(boot_clock::now()));
    const std::int64_t token = platform::integerOf(*in, "FencingToken").value_or(0);
    std::int64_t seen = platform::integerOf(*in, "LastSeen").value_or(0);
    const auto lease = platform::integerOf(*in, "ExpiresMs");
    auto leaseEnd = lease ? std::optional{milliseconds{*lease}} : std::optional<milliseconds>{};
    const boot_time latest =
        boot_clock::now() + milliseconds{platform::integerOf(*in, "WaitMs").value_or(0)};
    if (seen > m_model.lastSequence() && !mayMistakeIncarnation(token, boot_clock::now()))
        m_audit.addViolation("an end was acknowledged that the incarnation has not listed: "
                             + m_id);
    const std::int64_t incarnation = m_model.info().startedUnixMs;
    while (true) {
        const boot_time now = boot_clock::now();
        advance(now);
        // A request ends with the incarnation that has received it.
        if (m_model.info().startedUnixMs != incarnation)
            co_return co_await abandon();
        const std::ptrdiff_t unlisted = countUnlisted(seen);
        const auto found = m_model.hold(token, seen, leaseEnd, now);
        if (found && unlisted > 0)
            m_audit.addViolation("an end was discarded that the incarnation has not listed: "
                                 + m_id);
        auditAcknowledged();
        // Both apply once, when the request is received, not for as long as the response waits.
        seen = 0;
        leaseEnd.reset();
        if (!found)
            co_return reply(http::status::conflict, {{"Reason", "fence"}}, m_model.clock(now));
        if (found->ended.empty() && now < latest) {
            asio::steady_timer timer{m_loop, reportPollInterval};
            co_await timer.async_wait(asio::use_awaitable);
            continue;
        }
        json::array running;
        for (const reported_run &each : found->running)
            running.push_back(
                json::array{toString(each.task), each.run, "", each.progressPercent, 0});
        m_firstAnswers.try_emplace(token, now);
        json::array ended;
        if (!found->ended.empty())
            m_lastListed = std::max(m_lastListed, found->ended.back().sequence);
        for (const ended_run &each : found->ended)
            ended.push_back(
                json::array{each.sequence, toString(each.task), each.run, endName(each.end), ""});
        co_return reply(http::status::ok,
                        {{"Running", std::move(running)},
                         {"EndedRuns", std::move(ended)},
                         {startField, m_model.info().startedUnixMs}},
                        found->clock);
    }
}

void executor_endpoint::auditAcknowledged()
{
    for (const ended_run &each : m_model.takeAcknowledged())
        m_audit.acknowledged(each.task, each.end == run_end::done, m_endedAt[each.sequence]);
}

} // namespace azurelb::soak
