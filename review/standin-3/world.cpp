#include "world.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <random>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr char apiKey[]{"key-of-the-tenant"};
constexpr char host[]{"jobs.example"};
constexpr milliseconds moveTime{1500};
constexpr milliseconds upkeepTime{2000};
/** Three heartbeat intervals of 1.5 s. */
constexpr milliseconds registrationTerm{4500};
constexpr milliseconds gangWait{4000};

/** A free port below the range from which the system takes the ports of outgoing connections. It
    stays reserved: a daemon, which allows the reuse of addresses, can still listen on it, and
    another script that runs at the same time can't choose it. */
std::string reserveAddress(asio::io_context &loop)
{
    static std::mt19937 random{std::random_device{}()};
    static auto &reserved = *new std::vector<std::unique_ptr<tcp::acceptor>>;
    std::uniform_int_distribution<unsigned> ports{20'000, 31'999};
    while (true) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        boost::system::error_code failure;
        auto probe = std::make_unique<tcp::acceptor>(loop);
        probe->open(tcp::v4(), failure);
        probe->bind({asio::ip::address_v4::loopback(), port}, failure);
        if (failure)
            continue;
        probe->set_option(tcp::acceptor::reuse_address{true});
        reserved.push_back(std::move(probe));
        return "127.0.0.1:" + std::to_string(port);
    }
}

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

world::world(asio::io_context &loop, std::string folder)
    : m_loop{loop}
    , m_folder{std::move(folder)}
    , m_record{m_folder + "/record.txt"}
    , m_store{loop}
    , m_machineService{loop, [this](const request &message) {
                           return serveMachines(message);
                       }}
{
    asio::co_spawn(loop, runGangs(), asio::detached);
}

world::~world()
{
    for (const auto &[name, each] : m_daemons) {
        if (each.process > 0) {
            kill(each.process, SIGKILL);
            waitpid(each.process, nullptr, 0);
        }
    }
}

void world::record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(now().count()) / 1000);
    m_record << time << line << std::endl;
}

void world::handle(const run_event &event)
{
    const std::string job = jobOf(event.task);
    if (event.what == "start")
        m_starts.emplace(job, now());
    if (event.what == "start")
        m_carried[{event.task.substr(0, event.task.rfind('.')), event.run}].insert(
            event.checkpoint);
    else
        m_ends.push_back({job, event.what, now()});
    if (event.what == "done")
        ++m_done[job];
    if (!m_summarized.contains(job))
        record("executor " + event.executor + ": " + event.what + " " + event.task + " run "
               + std::to_string(event.run)
               + (event.checkpoint.empty() ? "" : " checkpoint " + event.checkpoint));
}

std::vector<milliseconds> world::startsOf(const std::string &job) const
{
    std::vector<milliseconds> times;
    const auto [begin, end] = m_starts.equal_range(job);
    for (auto each = begin; each != end; ++each)
        times.push_back(each->second);
    return times;
}

std::size_t world::doneOf(const std::string &job) const
{
    const auto found = m_done.find(job);
    return found == m_done.end() ? 0 : found->second;
}

executor &world::addExecutor(machine &on)
{
    m_executors.push_back(std::make_unique<executor>(
        m_loop, "i-" + std::to_string(++m_lastExecutor), on.name, on.pool, executor::limits{},
        [this](const run_event &event) { handle(event); }));
    on.present = m_executors.back().get();
    on.state = "up";
    m_store.put("servers/" + on.present->id(), on.present->entry());
    record("platform: machine " + on.name + " is up in " + on.pool + " with executor "
           + on.present->id());
    return *on.present;
}

executor &world::addMachine(const std::string &name, const std::string &pool)
{
    machine &made = m_machines[name];
    made.name = name;
    made.pool = pool;
    return addExecutor(made);
}

void world::configure(const std::vector<std::string> &pools)
{
    for (const std::string &each : pools)
        m_queues.push_back({each, each, 0});
    m_pools = {pools.begin(), pools.end()};
    writeConfiguration();
}

void world::addQueue(const std::string &name, const std::string &pool, int priority)
{
    m_queues.push_back({name, pool, priority});
    writeConfiguration();
}

void world::writeConfiguration()
{
    json::array routes;
    json::array services;
    for (const queue &each : m_queues)
        routes.push_back(json::object{{"Name", each.name},
                                      {"Host", host},
                                      {"Prefix", "/" + each.name + "/"},
                                      {"Service", each.pool},
                                      {"Priority", each.priority},
                                      {"Attempts", 3},
                                      {"Stretch", 2.0},
                                      {"TargetDurationMs", 1000}});
    for (const std::string &each : m_pools)
        services.push_back(json::object{{"Name", each}, {"RejectsOverload", false}});
    m_version += 5;
    m_store.put(
        "op/config",
        json::object{{"Version", m_version},
                     {"Routes", std::move(routes)},
                     {"Services", std::move(services)},
                     {"Tenants",
                      json::array{json::object{
                          {"Name", "tenant-a"}, {"ApiKeys", json::array{apiKey}}, {"Weight", 1}}}},
                     {"Limits", json::object{{"MaxBodyBytes", 262'144}}}});
}

void world::crashMachine(const std::string &name)
{
    machine &of = m_machines.at(name);
    record("machine " + name + " is lost with executor " + of.present->id());
    of.present->crash();
    of.state = "down";
    asio::co_spawn(m_loop, forget(of.present->id()), asio::detached);
}

asio::awaitable<void> world::forget(std::string id)
{
    co_await sleepFor(registrationTerm);
    m_store.remove("servers/" + id);
}

/** The members of a gang's run work from the moment when all of them are present with the same
    checkpoint, and end together. */
asio::awaitable<void> world::runGangs()
{
    while (true) {
        co_await sleepFor(milliseconds{10});
        std::map<std::pair<std::string, std::int64_t>, std::vector<executor::gang_member>> runs;
        for (const auto &each : m_executors)
            each->listMembers(runs);
        for (auto &[run, members] : runs) {
            const auto &first = members.front();
            const bool complete = members.size() == first.width;
            const bool working = std::any_of(members.begin(), members.end(),
                                             [](auto &each) { return each.working; });
            const bool alike = std::all_of(members.begin(), members.end(), [&](auto &each) {
                return each.checkpoint == first.checkpoint;
            });
            if (working && !complete) {
                for (const auto &each : members)
                    each.on->end(each.task, "broken");
            } else if (working && first.worked >= first.work) {
                for (const auto &each : members)
                    each.on->end(each.task, "done");
            } else if (!working && complete && alike) {
                for (const auto &each : members)
                    each.on->beginWork(each.task);
            } else if (!working) {
                for (const auto &each : members) {
                    if (steadyNow() - each.arrivedAt >= gangWait)
                        each.on->end(each.task, "alone");
                }
            }
        }
    }
}

std::size_t world::endsOf(const std::string &job, const std::string &how, milliseconds after) const
{
    return static_cast<std::size_t>(std::count_if(m_ends.begin(), m_ends.end(), [&](auto &each) {
        return each.job == job && each.how == how && each.at >= after;
    }));
}

std::size_t world::mixedCheckpoints() const
{
    return static_cast<std::size_t>(std::count_if(
        m_carried.begin(), m_carried.end(), [](auto &each) { return each.second.size() > 1; }));
}

void world::startDaemon(const std::string &name)
{
    daemon &to = m_daemons[name];
    const std::string flags = m_folder + "/" + name + ".flags";
    if (to.front.empty()) {
        to.front = reserveAddress(m_loop);
        to.ready = reserveAddress(m_loop);
        std::ofstream out{flags};
        // The fields of platform/node.flags; bounds of the cantoria-grown site.
        out << "--vm_id=" << name << "\n--zone=zone-a\n--listen=" << to.front
            << "\n--readiness_listen=" << to.ready << "\n--relay_listen=" << reserveAddress(m_loop)
            << "\n--metrics_ip=127.0.0.1\n--metrics_port=0\n--store_endpoint=" << m_store.address()
            << "\n--vm_service_endpoint=" << m_machineService.address()
            << "\n--processors=0.25\n--shutdown_grace_s=6\n--max_lease_ms=6000"
            << "\n--stop_grace_ms=900\n--vm_lease_ms=3000\n--move_s=1.5\n--maintenance_s=2"
            << "\n--cancellation_bound_ms=4000\n--drain_bound_ms=3000"
            << "\n--configuration_bound_ms=3000\n--evacuation_bound_ms=5000\n";
    }
    const std::string log = m_folder + "/" + name + ".log";
    const char *const program = std::getenv("AZURELB_PLATFORMD");
    if (!program)
        throw std::runtime_error{"AZURELB_PLATFORMD is not set"};
    const std::string flagfile = "--flagfile=" + flags;
    const pid_t process = fork();
    if (process == 0) {
        // The daemon ends with this process, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        for (int each = 3; each < 1024; ++each)
            close(each);
        execl(program, program, flagfile.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    to.process = process;
    record("process " + name + " starts");
}

void world::signalDaemon(const std::string &name, int number)
{
    record("process " + name + ": signal " + strsignal(number));
    kill(m_daemons.at(name).process, number);
}

bool world::hasEnded(const std::string &name)
{
    daemon &of = m_daemons.at(name);
    int status = 0;
    if (of.process <= 0 || waitpid(of.process, &status, WNOHANG) != of.process)
        return of.process <= 0;
    record("process " + name + " has ended, status " + std::to_string(status));
    of.process = 0;
    return true;
}

asio::awaitable<bool> world::waitUntilReady()
{
    const milliseconds latest = now() + milliseconds{15'000};
    for (const auto &[name, each] : m_daemons) {
        while (true) {
            const answer got = co_await call(each.ready, http::verb::get, "/azurelb/ready", host,
                                             {}, milliseconds{500});
            if (got.status == 200)
                break;
            if (now() >= latest)
                co_return false;
            co_await sleepFor(milliseconds{50});
        }
    }
    co_return true;
}

asio::awaitable<answer> world::callQueue(const std::string &daemon, http::verb method,
                                         const std::string &queue, const std::string &id,
                                         std::string body, milliseconds time)
{
    const std::string what = std::string{http::to_string(method)} + " " + id + " at " + daemon;
    record("client: " + what);
    const answer got = co_await call(m_daemons.at(daemon).front, method, "/" + queue + "/" + id,
                                     host, std::move(body), time, apiKey);
    record("client: " + what + " -> "
           + (got.status == 0 ? "no answer"
                              : std::to_string(got.status) + " " + got.body.substr(0, 120)));
    co_return got;
}

asio::awaitable<answer> world::submit(const std::string &daemon, const std::string &queue,
                                      const std::string &id, json::object job, milliseconds time)
{
    co_return co_await callQueue(daemon, http::verb::post, queue, id, json::serialize(job), time);
}

asio::awaitable<answer> world::cancel(const std::string &daemon, const std::string &queue,
                                      const std::string &id, milliseconds time)
{
    co_return co_await callQueue(daemon, http::verb::delete_, queue, id, {}, time);
}

asio::awaitable<answer> world::state(const std::string &daemon, const std::string &queue,
                                     const std::string &id, milliseconds time)
{
    co_return co_await callQueue(daemon, http::verb::get, queue, id, {}, time);
}

asio::awaitable<void> world::replaceExecutor(machine &of, std::string pool, milliseconds time)
{
    m_store.remove("servers/" + of.present->id());
    of.present->terminate();
    co_await sleepFor(time);
    of.pool = std::move(pool);
    addExecutor(of);
}

asio::awaitable<response> world::serveMachines(const request &message)
{
    const std::string target{message.target()};
    co_await sleepFor(milliseconds{4});
    if (target.starts_with("/azurelb/machines")) {
        json::array list;
        for (const auto &[name, each] : m_machines)
            list.push_back(json::object{
                {"Machine", name},
                {"Pool", each.pool},
                {"State", each.state},
                {"Zone", "zone-a"},
                {"Labels", json::array{"std", "r1-1"}},
                {"FreeCapacity", json::object{{"Cpu", 64'000}, {"MemMb", 128'000}, {"Gpus", 0}}},
                {"Id", each.state == "up" ? each.present->id() : ""}});
        co_return reply(200, json::object{{"Machines", std::move(list)}, {"NextToken", ""}});
    }
    boost::system::error_code failure;
    const json::value parsed = json::parse(message.body(), failure);
    const json::object body = !failure && parsed.is_object() ? parsed.get_object() : json::object{};
    const json::value *const name = body.if_contains("Machine");
    const auto found = name && name->is_string() ? m_machines.find(std::string{name->get_string()})
                                                 : m_machines.end();
    if (found == m_machines.end())
        co_return reply(400, json::object{});
    machine &of = found->second;
    const std::int64_t token = std::atoll(std::string{message["X-Fencing-Token"]}.c_str());
    if (token < of.token)
        co_return reply(409, json::object{{"Reason", "fence"}});
    of.token = token;
    const bool isUpkeep = target == "/azurelb/machine-upkeep";
    const std::int64_t wave = isUpkeep ? body.at("Wave").to_number<std::int64_t>() : 0;
    const std::string pool = isUpkeep ? of.pool : std::string{body.at("Pool").as_string()};
    if (isUpkeep ? of.waves.contains(wave) : of.pool == pool)
        co_return reply(200, json::object{});
    if (of.state != "up")
        co_return reply(409, json::object{{"Reason", "busy"}});
    record("platform: " + std::string{isUpkeep ? "upkeep" : "move"} + " of " + of.name + " begins");
    of.state = isUpkeep ? "upkeep" : "moving";
    if (isUpkeep) {
        of.waves.insert(wave);
        m_upkeeps.insert(of.name);
    }
    asio::co_spawn(m_loop, replaceExecutor(of, pool, isUpkeep ? upkeepTime : moveTime),
                   asio::detached);
    co_return reply(200, json::object{});
}

} // namespace review
