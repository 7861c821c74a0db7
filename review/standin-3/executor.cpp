#include "executor.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr std::size_t maxListedEnds{500};
constexpr milliseconds workInterval{10};

std::int64_t numberOf(const json::object &in, std::string_view name)
{
    const json::value *const found = in.if_contains(name);
    return found && found->is_number() ? found->to_number<std::int64_t>() : 0;
}

std::string textOf(const json::object &in, std::string_view name)
{
    const json::value *const found = in.if_contains(name);
    return found && found->is_string() ? std::string{found->get_string()} : std::string{};
}

long long settingOf(const std::string &spec, const std::string &name, long long absent)
{
    const auto at = spec.find(name);
    return at == std::string::npos ? absent : std::atoll(spec.c_str() + at + name.size());
}

milliseconds workOf(const std::string &spec)
{
    return milliseconds{settingOf(spec, "ms=", 500)};
}

std::string checkpointAfter(milliseconds worked)
{
    char text[17];
    std::snprintf(text, sizeof text, "%08llx5c0e7a21",
                  static_cast<unsigned long long>(worked.count()));
    return text;
}

milliseconds workBehind(const std::string &checkpoint)
{
    return milliseconds{checkpoint.empty() ? 0 : std::stoll(checkpoint.substr(0, 8), nullptr, 16)};
}

} // namespace

executor::executor(asio::io_context &loop, std::string id, std::string machine, std::string pool,
                   limits with, listener onEvent)
    : m_id{std::move(id)}
    , m_machine{std::move(machine)}
    , m_pool{std::move(pool)}
    , m_limits{with}
    , m_onEvent{std::move(onEvent)}
    , m_server{loop, [this](const request &message) {
                   return serve(message);
               }}
{
    asio::co_spawn(loop, work(), asio::detached);
}

std::int64_t executor::clock() const
{
    return (steadyNow() - m_startedAt).count();
}

json::object executor::entry() const
{
    return {{"Service", m_pool},
            {"Address", m_server.address()},
            {"Zone", "zone-a"},
            {"Version", "1"},
            {"Capacity", 8},
            {"State", "ready"},
            {"ColdLeftMs", 0},
            {"SeqNo", 1},
            {"Machine", m_machine},
            {"FreeCapacity", json::object{{"Cpu", 64'000}, {"MemMb", 128'000}, {"Gpus", 0}}},
            {"Labels", json::array{"std", "r1-1"}},
            {"born", m_born.count()}};
}

json::object executor::lists() const
{
    json::array running;
    for (const auto &[task, each] : m_running) {
        const auto worked = workedBy(each, steadyNow()).count();
        const auto percent =
            std::min<std::int64_t>(99, worked * 100 / std::max<std::int64_t>(1, each.work.count()));
        running.push_back(json::array{task, each.run, each.saved, percent, 0});
    }
    json::array ended;
    for (const ended_run &each : m_ended) {
        if (ended.size() == maxListedEnds)
            break;
        ended.push_back(json::array{each.number, each.task, each.run, each.how, each.saved});
    }
    return {{"ClockMs", clock()},
            {"born", m_born.count()},
            {"Running", std::move(running)},
            {"EndedRuns", std::move(ended)}};
}

void executor::extendLease(std::int64_t expires)
{
    m_leaseEnds = std::max(m_leaseEnds, std::min(expires, clock() + m_limits.maxHold.count()));
}

void executor::end(const std::string &task, const std::string &how)
{
    const auto found = m_running.find(task);
    const active_run ended = found->second;
    m_running.erase(found);
    std::int64_t &highest = m_highestEnded[task];
    highest = std::max(highest, ended.run);
    m_ended.push_back({++m_lastNumber, task, ended.run, how, how == "done" ? "" : ended.saved});
    m_onEvent({m_id, task, ended.run, how});
}

milliseconds executor::workedBy(const active_run &run, milliseconds now)
{
    return run.working ? run.resumed + (now - run.startedAt) : run.resumed;
}

void executor::listMembers(
    std::map<std::pair<std::string, std::int64_t>, std::vector<gang_member>> &to)
{
    for (auto &[task, each] : m_running) {
        if (each.gang > 0)
            to[{task.substr(0, task.rfind('.')), each.run}].push_back(
                {this, task, each.carried, each.gang, each.working, each.startedAt,
                 workedBy(each, steadyNow()), each.work});
    }
}

void executor::beginWork(const std::string &task)
{
    active_run &run = m_running.at(task);
    run.working = true;
    run.startedAt = steadyNow();
}

void executor::crash()
{
    m_crashed = true;
    terminate();
}

void executor::terminate()
{
    for (const auto &[task, each] : m_running)
        m_onEvent({m_id, task, each.run, "terminated"});
    m_running.clear();
}

asio::awaitable<void> executor::work()
{
    while (true) {
        co_await sleepFor(workInterval);
        const milliseconds now = steadyNow();
        std::vector<std::pair<std::string, std::string>> over;
        for (auto &[task, each] : m_running) {
            const milliseconds worked = workedBy(each, now);
            if (each.saves && worked - each.resumed >= m_limits.checkpointTime)
                each.saved = checkpointAfter(each.resumed
                                             + (worked - each.resumed) / m_limits.checkpointTime
                                                 * m_limits.checkpointTime);
            if (clock() >= m_leaseEnds)
                over.emplace_back(task, "lapsed");
            else if (each.stopAt.count() != 0 && now >= each.stopAt)
                over.emplace_back(task, "stopped");
            else if (each.gang == 0 && worked >= each.work)
                over.emplace_back(task, "done");
        }
        for (const auto &[task, how] : over)
            end(task, how);
    }
}

response executor::start(const json::object &body)
{
    const std::string task = textOf(body, "Task");
    const std::int64_t run = numberOf(body, "RunId");
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.run == run)
        return reply(200, json::object{{"ClockMs", clock()}});
    const auto refuse = [this](const char *reason) {
        return reply(409, json::object{{"ClockMs", clock()}, {"Reason", reason}});
    };
    const std::int64_t expires = numberOf(body, "ExpiresMs");
    const auto ended = m_highestEnded.find(task);
    if (running != m_running.end() || (ended != m_highestEnded.end() && run <= ended->second)) {
        extendLease(expires);
        return refuse("old");
    }
    if (expires <= clock())
        return refuse("late");
    extendLease(expires);
    const std::string spec = textOf(body, "Spec");
    active_run made;
    made.run = run;
    made.saved = textOf(body, "Checkpoint");
    made.startedAt = steadyNow();
    made.work = workOf(spec);
    made.saves = spec.find("save") != std::string::npos;
    made.gang = static_cast<std::size_t>(settingOf(spec, "gang=", 0));
    made.working = made.gang == 0;
    made.carried = made.saved;
    made.resumed = workBehind(made.carried);
    m_running.emplace(task, made);
    m_onEvent({m_id, task, run, "start", made.carried});
    return reply(200, json::object{{"ClockMs", clock()}});
}

response executor::stop(const json::object &body)
{
    const std::string task = textOf(body, "Task");
    const std::int64_t run = numberOf(body, "RunId");
    std::int64_t &highest = m_highestEnded[task];
    const auto running = m_running.find(task);
    if (running != m_running.end() && running->second.run == run) {
        if (running->second.stopAt.count() == 0)
            running->second.stopAt = steadyNow() + m_limits.stopTime;
    } else {
        highest = std::max(highest, run);
    }
    return reply(200, json::object{{"ClockMs", clock()}});
}

asio::awaitable<response> executor::hold(json::object body)
{
    const std::int64_t seen = numberOf(body, "LastSeen");
    while (!m_ended.empty() && m_ended.front().number <= seen)
        m_ended.pop_front();
    if (body.contains("ExpiresMs"))
        extendLease(numberOf(body, "ExpiresMs"));
    const milliseconds latest =
        steadyNow() + milliseconds{std::min<std::int64_t>(numberOf(body, "WaitMs"), 2000)};
    while (m_ended.empty() && steadyNow() < latest)
        co_await sleepFor(milliseconds{5});
    co_return reply(200, lists());
}

asio::awaitable<response> executor::serve(const request &message)
{
    while (m_crashed)
        co_await sleepFor(milliseconds{60'000});
    const std::string target{message.target()};
    if (message["X-Target-Instance"] != m_id)
        co_return reply(421, json::object{{"ClockMs", clock()}});
    boost::system::error_code failure;
    json::value parsed = json::parse(message.body(), failure);
    if (failure || !parsed.is_object())
        co_return reply(400, json::object{{"ClockMs", clock()}});
    const json::object body = parsed.get_object();
    const std::int64_t token = numberOf(body, "FencingToken");
    if (token < m_highestToken)
        co_return reply(409, json::object{{"ClockMs", clock()}, {"Reason", "fence"}});
    m_highestToken = token;
    if (target == "/azurelb/hold")
        co_return co_await hold(body);
    if (target == "/azurelb/run-start")
        co_return start(body);
    if (target == "/azurelb/run-stop")
        co_return stop(body);
    if (target == "/azurelb/pace")
        co_return reply(200, json::object{{"ClockMs", clock()}});
    co_return reply(400, json::object{{"ClockMs", clock()}});
}

} // namespace review
