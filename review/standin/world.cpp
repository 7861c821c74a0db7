#include "world.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdarg>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::FILE *recordFile = stdout;
clock_type::time_point begun = clock_type::now();

double secondsOf(clock_type::time_point at)
{
    return std::chrono::duration<double>(at - begun).count();
}

std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            out += text[index];
        }
    }
    return out;
}

std::string parameter(const std::string &target, const std::string &name)
{
    for (const char before : {'?', '&'}) {
        const auto found = target.find(before + name + '=');
        if (found == std::string::npos)
            continue;
        const auto from = found + name.size() + 2;
        return decodePercent(target.substr(from, target.find('&', from) - from));
    }
    return {};
}

std::int64_t number(const std::string &text)
{
    return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

constexpr char base64Digits[]{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};

std::string encodeBase64(const std::string &in)
{
    std::string out;
    for (std::size_t index = 0; index < in.size(); index += 3) {
        unsigned bits = 0;
        for (std::size_t each = 0; each < 3; ++each)
            bits = bits << 8U
                | (index + each < in.size() ? static_cast<unsigned char>(in[index + each]) : 0U);
        for (std::size_t each = 0; each < 4; ++each)
            out += index + each > in.size() ? '=' : base64Digits[bits >> (18 - 6 * each) & 63U];
    }
    return out;
}

std::string decodeBase64(const std::string &in)
{
    std::string out;
    unsigned bits = 0;
    int count = 0;
    for (const char each : in) {
        const char *const found = std::strchr(base64Digits, each);
        if (each == '=' || each == 0 || !found)
            break;
        bits = bits << 6U | static_cast<unsigned>(found - base64Digits);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 255U);
        }
    }
    return out;
}

std::int64_t integerOf(const json::object &in, const char *name)
{
    const json::value *const found = in.if_contains(name);
    return found && found->is_number() ? found->to_number<std::int64_t>() : 0;
}

std::string textOf(const json::object &in, const char *name)
{
    const json::value *const found = in.if_contains(name);
    return found && found->is_string() ? std::string{found->get_string()} : std::string{};
}

std::optional<json::object> parse(const std::string &text)
{
    boost::system::error_code failure;
    json::value value = json::parse(text, failure);
    if (failure || !value.is_object())
        return std::nullopt;
    return value.get_object();
}

} // namespace

void openRecord(const std::string &path)
{
    recordFile = std::fopen(path.c_str(), "w");
    begun = clock_type::now();
}

void record(const char *format, ...)
{
    std::fprintf(recordFile, "%8.3f ", secondsOf(clock_type::now()));
    std::va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

response reply(unsigned status, const json::object &body)
{
    response made{static_cast<http::status>(status), 11};
    made.set(http::field::content_type, "application/json");
    made.body() = json::serialize(body);
    made.keep_alive(true);
    made.prepare_payload();
    return made;
}

asio::awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(asio::use_awaitable);
}

/** Keeps the port bound, without listening, as long as this process lives: the daemon can bind it
    too, and nobody else gets it. */
unsigned short freePort()
{
    static asio::io_context loop;
    static std::vector<std::unique_ptr<tcp::acceptor>> kept;
    kept.push_back(std::make_unique<tcp::acceptor>(loop));
    kept.back()->open(tcp::v4());
    kept.back()->set_option(tcp::acceptor::reuse_address{true});
    kept.back()->bind(tcp::endpoint{asio::ip::address_v4::loopback(), 0});
    return kept.back()->local_endpoint().port();
}

server::server(asio::io_context &loop, handler serve)
    : m_loop{loop}
    , m_acceptor{loop, tcp::endpoint{asio::ip::address_v4::loopback(), 0}}
    , m_handler{std::move(serve)}
    , m_port{m_acceptor.local_endpoint().port()}
{
    asio::co_spawn(loop, accept(), asio::detached);
}

asio::awaitable<void> server::accept()
{
    while (true) {
        boost::system::error_code failure;
        tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (!failure)
            asio::co_spawn(m_loop, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> server::serve(tcp::socket socket)
{
    boost::system::error_code failure;
    socket.set_option(tcp::no_delay{true}, failure);
    beast::flat_buffer buffer;
    const auto acceptedAt = clock_type::now();
    while (true) {
        request call;
        co_await http::async_read(socket, buffer, call,
                                  asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        answer made;
        try {
            made = co_await m_handler(std::move(call), acceptedAt);
        } catch (const std::runtime_error &) {
            socket.set_option(asio::socket_base::linger{true, 0}, failure);
            co_return;
        }
        if (!made) {
            // The answer is lost: this connection carries nothing more.
            std::array<char, 4096> ignored{};
            while (!failure)
                co_await socket.async_read_some(asio::buffer(ignored),
                                                asio::redirect_error(asio::use_awaitable, failure));
            co_return;
        }
        co_await http::async_write(socket, *made,
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
    }
}

// The store

void store::apply(const std::string &key, const std::string *value, std::int64_t lease)
{
    if (value) {
        item &each = m_items[key];
        if (each.created == 0)
            each.created = m_revision;
        each.value = *value;
        each.revision = m_revision;
        each.lease = lease;
        m_history.push_back({key, *value, m_revision, false});
    } else if (m_items.erase(key) != 0) {
        m_history.push_back({key, {}, m_revision, true});
    }
    if (onChange)
        onChange(key);
}

std::int64_t store::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    ++m_revision;
    apply(key, &value, lease);
    return m_revision;
}

void store::remove(const std::string &key)
{
    ++m_revision;
    apply(key, nullptr, 0);
}

std::string store::get(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string{} : found->second.value;
}

std::int64_t store::revisionOf(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? 0 : found->second.revision;
}

void store::expire()
{
    const auto now = clock_type::now();
    for (auto each = m_leases.begin(); each != m_leases.end();) {
        if (each->second.end > now) {
            ++each;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, held] : m_items) {
            if (held.lease == each->first)
                keys.push_back(key);
        }
        each = m_leases.erase(each);
        for (const std::string &key : keys)
            remove(key);
    }
}

json::object store::encode(const std::string &key, const item &each)
{
    return {{"Key", key},
            {"Value", encodeBase64(each.value)},
            {"Revision", each.revision},
            {"Created", each.created},
            {"Lease", each.lease}};
}

response store::commit(const json::object &in)
{
    bool holds = true;
    json::array current;
    for (const json::value &each : in.at("ExpectedRev").as_array()) {
        const std::string key{each.at("Key").as_string()};
        const auto found = m_items.find(key);
        const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == each.at("Revision").to_number<std::int64_t>();
        current.push_back(found == m_items.end() ? json::object{{"Key", key}, {"Revision", 0}}
                                                 : encode(key, found->second));
    }
    if (!holds)
        return reply(412, {{"items", std::move(current)}});
    const json::array &puts = in.at("Puts").as_array();
    const json::array &removals = in.at("Remove").as_array();
    if (in.at("ExpectedRev").as_array().size() + puts.size() + removals.size() > 32)
        return reply(400, {});
    for (const json::value &each : puts) {
        const std::int64_t lease = integerOf(each.as_object(), "Lease");
        if (lease != 0 && !m_leases.contains(lease))
            return reply(404, {});
    }
    ++m_revision;
    for (const json::value &each : puts) {
        const std::string value = decodeBase64(textOf(each.as_object(), "Value"));
        apply(textOf(each.as_object(), "Key"), &value, integerOf(each.as_object(), "Lease"));
    }
    for (const json::value &each : removals)
        apply(std::string{each.as_string()}, nullptr, 0);
    return reply(200, {{"Revision", m_revision}});
}

asio::awaitable<answer> store::serve(store_faults &faults, request call)
{
    const std::string target{call.target()};
    if (faults.cut)
        co_return std::nullopt;
    if (faults.reset)
        throw std::runtime_error{"reset"};
    if (faults.busy)
        co_return reply(503, {});
    expire();
    response made = reply(404, {});
    const auto path = target.substr(0, target.find('?'));
    const auto body = parse(call.body());
    constexpr std::size_t pageItems{500};
    if (path == "/azurelb/kv-key") {
        const std::string key = parameter(target, "Key");
        if (const auto found = m_items.find(key); found != m_items.end()) {
            json::object out = encode(key, found->second);
            out["CurrentRev"] = m_revision;
            made = reply(200, out);
        }
    } else if (path == "/azurelb/kv-range") {
        const std::string prefix = parameter(target, "Prefix");
        const std::string after = parameter(target, "After");
        json::array items;
        bool more = false;
        for (auto each = m_items.lower_bound(std::max(prefix, after)); each != m_items.end();
             ++each) {
            if (!each->first.starts_with(prefix))
                break;
            if (each->first <= after)
                continue;
            if (items.size() == pageItems) {
                more = true;
                break;
            }
            items.push_back(encode(each->first, each->second));
        }
        made = reply(200,
                     {{"items", std::move(items)}, {"HasMore", more}, {"CurrentRev", m_revision}});
    } else if (path == "/azurelb/kv-watch") {
        const std::string prefix = parameter(target, "Prefix");
        const std::int64_t after = number(parameter(target, "After"));
        const auto until = clock_type::now() + milliseconds{number(parameter(target, "WaitMs"))};
        json::array events;
        while (true) {
            for (auto each = m_history.rbegin(); each != m_history.rend() && each->revision > after;
                 ++each) {
                if (!each->key.starts_with(prefix))
                    continue;
                json::object event{{"Key", each->key}, {"Revision", each->revision}};
                if (each->deleted)
                    event["Deleted"] = true;
                else
                    event["Value"] = encodeBase64(each->value);
                events.push_back(std::move(event));
            }
            if (!events.empty() || clock_type::now() >= until)
                break;
            co_await pause(milliseconds{2});
            expire();
            if (faults.cut)
                co_return std::nullopt;
            if (faults.reset)
                throw std::runtime_error{"reset"};
        }
        std::reverse(events.begin(), events.end());
        made = reply(200, {{"events", std::move(events)}, {"CurrentRev", m_revision}});
    } else if (path == "/azurelb/kv-txn" && body) {
        if (const auto late = faults.executesLate ? faults.executesLate(*body) : std::nullopt) {
            asio::co_spawn(
                m_loop,
                [this, late, write = *body]() -> asio::awaitable<void> {
                    co_await pause(*late);
                    expire();
                    record("the store executes the write that got no answer: %u",
                           commit(write).result_int());
                },
                asio::detached);
            co_return std::nullopt;
        }
        made = commit(*body);
    } else if (path == "/azurelb/kv-lease" && body) {
        const milliseconds term{std::max<std::int64_t>(integerOf(*body, "TtlMs"), 1000)};
        m_leases[++m_lastLease] = {term, clock_type::now() + term};
        made = reply(200, {{"Lease", m_lastLease}, {"TtlMs", term.count()}});
    } else if (path.starts_with("/azurelb/kv-keep/")) {
        const auto found = m_leases.find(number(path.substr(path.rfind('/') + 1)));
        if (found != m_leases.end()) {
            found->second.end = clock_type::now() + found->second.term;
            made = reply(200, {{"Lease", found->first}, {"TtlMs", found->second.term.count()}});
        }
    } else if (path.starts_with("/azurelb/kv-lease-end/")) {
        const auto found = m_leases.find(number(path.substr(path.rfind('/') + 1)));
        if (found != m_leases.end()) {
            found->second.end = clock_type::time_point{};
            expire();
            made = reply(200, {});
        }
    }
    // The store answers in 4 ms.
    co_await pause(milliseconds{4});
    if (faults.cut || (faults.loses && faults.loses(target, made.body())))
        co_return std::nullopt;
    co_return made;
}

void store::clear()
{
    m_items.clear();
    m_history.clear();
    m_leases.clear();
}

void store::save(const std::string &path) const
{
    json::array items;
    for (const auto &[key, each] : m_items) {
        if (each.lease == 0)
            items.push_back(json::object{{"Key", key},
                                         {"Value", each.value},
                                         {"Revision", each.revision},
                                         {"Created", each.created}});
    }
    std::ofstream{path} << json::serialize(
        json::object{{"CurrentRev", m_revision}, {"items", std::move(items)}})
                        << '\n';
}

bool store::load(const std::string &path)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    const auto in = parse(text.str());
    if (!in)
        return false;
    m_revision = integerOf(*in, "CurrentRev");
    for (const json::value &each : in->at("items").as_array()) {
        const json::object &entry = each.as_object();
        m_items[textOf(entry, "Key")] = {textOf(entry, "Value"), integerOf(entry, "Revision"),
                                         integerOf(entry, "Created"), 0};
    }
    return true;
}

// Daemons and executors

world::world(asio::io_context &onLoop, std::string program, std::string folder)
    : loop{onLoop}
    , platformStore{onLoop}
    , m_program{std::move(program)}
    , m_folder{std::move(folder)}
{
    asio::co_spawn(loop, tick(), asio::detached);
}

world::~world()
{
    for (auto &each : daemons)
        kill(*each);
}

daemon_process &world::addDaemon(const std::string &name)
{
    daemons.push_back(std::make_unique<daemon_process>());
    daemon_process &made = *daemons.back();
    made.name = name;
    made.flagfile = m_folder + '/' + name + ".flags";
    made.log = m_folder + '/' + name + ".log";
    made.storePort =
        std::make_unique<server>(loop, [this, &made](request call, clock_type::time_point) {
            return platformStore.serve(made.faults, std::move(call));
        });
    made.vmPort = std::make_unique<server>(
        loop, [this](request call, clock_type::time_point) { return serveVms(std::move(call)); });
    made.callers = freePort();
    // platform/node.flags, filled in with the settings of cantoria.
    const std::string ip{"127.0.0.1:"};
    std::ofstream{made.flagfile}
        << "--vm_id=" << name << "\n--zone=milano\n--listen=" << ip << made.callers
        << "\n--readiness_listen=" << ip << freePort() << "\n--relay_listen=" << ip << freePort()
        << "\n--metrics_ip=127.0.0.1\n--metrics_port=" << freePort() << "\n--store_endpoint=" << ip
        << made.storePort->port() << "\n--vm_service_endpoint=" << ip << made.vmPort->port()
        << "\n--processors=0.25\n--shutdown_grace_s=6\n--max_lease_ms=6000\n--stop_grace_ms=900"
           "\n--vm_lease_ms=3000\n--move_s=1.5\n--maintenance_s=2\n--cancellation_bound_ms=3000"
           "\n--drain_bound_ms=2000\n--configuration_bound_ms=2000\n--evacuation_bound_ms=5000\n";
    return made;
}

void world::start(daemon_process &which)
{
    const std::string flag = "--flagfile=" + which.flagfile;
    which.pid = ::fork();
    if (which.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(which.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        for (int each = 3; each < 1024; ++each)
            ::close(each);
        ::execl(m_program.c_str(), m_program.c_str(), flag.c_str(), nullptr);
        ::_exit(127);
    }
    record("daemon %s started", which.name.c_str());
}

void world::signal(daemon_process &which, int sent)
{
    record("daemon %s gets signal %s", which.name.c_str(), ::strsignal(sent));
    if (which.pid > 0)
        ::kill(which.pid, sent);
}

bool world::hasEnded(daemon_process &which)
{
    if (which.pid <= 0)
        return true;
    int status = 0;
    if (::waitpid(which.pid, &status, WNOHANG) != which.pid)
        return false;
    which.pid = 0;
    record("daemon %s has ended, %s %d", which.name.c_str(),
           WIFSIGNALED(status) ? "signal" : "exit code",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    return true;
}

void world::kill(daemon_process &which)
{
    if (which.pid <= 0)
        return;
    ::kill(which.pid, SIGKILL);
    int status = 0;
    ::waitpid(which.pid, &status, 0);
    which.pid = 0;
}

daemon_process *world::findDaemon(const std::string &name)
{
    for (auto &each : daemons) {
        if (each->name == name)
            return each.get();
    }
    return nullptr;
}

std::string world::owner() const
{
    const std::string claim = platformStore.get("azurelb/owner");
    return claim.substr(0, claim.find('/'));
}

asio::awaitable<bool> world::waitUntil(std::function<bool()> holds, milliseconds atMost)
{
    const auto until = clock_type::now() + atMost;
    while (!holds()) {
        if (clock_type::now() >= until)
            co_return false;
        co_await pause(milliseconds{5});
    }
    co_return true;
}

asio::awaitable<call_result> world::call(daemon_process &to, http::verb method, std::string target,
                                         std::string body, milliseconds deadline)
{
    request message{method, target, 11};
    message.set(http::field::host, "pule25.example");
    message.set(http::field::authorization, "Token key-1");
    message.set("X-Deadline-Ms", std::to_string(deadline.count()));
    if (!body.empty())
        message.set(http::field::content_type, "application/json");
    message.body() = std::move(body);
    message.keep_alive(false);
    message.prepare_payload();
    boost::system::error_code failure;
    beast::tcp_stream stream{loop};
    stream.expires_after(deadline);
    co_await stream.async_connect(tcp::endpoint{asio::ip::address_v4::loopback(), to.callers},
                                  asio::redirect_error(asio::use_awaitable, failure));
    response got;
    if (!failure)
        co_await http::async_write(stream, message,
                                   asio::redirect_error(asio::use_awaitable, failure));
    beast::flat_buffer buffer;
    if (!failure)
        co_await http::async_read(stream, buffer, got,
                                  asio::redirect_error(asio::use_awaitable, failure));
    call_result result{failure ? 0 : got.result_int(), failure ? std::string{} : got.body()};
    if (logRuns || method != http::verb::post)
        record("client: %s %s to %s -> %u %s", std::string{http::to_string(method)}.c_str(),
               target.c_str(), to.name.c_str(), result.status, result.body.c_str());
    co_return result;
}

executor &world::addExecutor(const std::string &id, const std::string &machine,
                             const std::string &pool)
{
    executors.push_back(std::make_unique<executor>());
    executor &made = *executors.back();
    made.id = id;
    made.machine = machine;
    made.pool = pool;
    made.born = unixMs();
    made.startedAt = clock_type::now();
    made.listener = std::make_unique<server>(
        loop, [this, &made](request call, clock_type::time_point acceptedAt) {
            return serveExecutor(made, std::move(call), acceptedAt);
        });
    registerExecutor(made);
    return made;
}

void world::registerExecutor(const executor &which)
{
    platformStore.put(
        "servers/" + which.id,
        json::serialize(json::object{
            {"Service", which.pool},
            {"Address", "127.0.0.1:" + std::to_string(which.listener->port())},
            {"Zone", which.zone},
            {"Version", "1"},
            {"State", "ready"},
            {"Machine", which.machine},
            {"FreeCapacity", json::object{{"Cpu", which.cpu}, {"MemMb", which.memory}}},
            {"Labels", json::array{"a", "r1-1"}},
            {"SeqNo", 1},
            {"born", which.born}}));
}

void world::writeConfig(std::int64_t version)
{
    const json::object queue{{"Name", "loft-sketch"},  {"Host", "pule25.example"},
                             {"Prefix", "/puxa400/"},  {"Service", service},
                             {"Attempts", 4},          {"Stretch", 2.0},
                             {"TargetDurationMs", 600}};
    const json::object tenant{
        {"Name", "lecco"}, {"ApiKeys", json::array{"key-1"}}, {"Weight", 1000}};
    platformStore.put(
        "op/config",
        json::serialize(json::object{{"Version", version},
                                     {"Routes", json::array{queue}},
                                     {"Services", json::array{json::object{{"Name", service}}}},
                                     {"Tenants", json::array{tenant}},
                                     {"Limits", json::object{}}}));
    record("operator: configuration %ld written and acknowledged", static_cast<long>(version));
}

asio::awaitable<void> world::tick()
{
    while (true) {
        for (auto &each : executors)
            advance(*each);
        co_await pause(milliseconds{2});
    }
}

void world::finish(executor &which, const std::string &task, const std::string &how)
{
    const executor::run run = which.running.at(task);
    which.running.erase(task);
    auto &highest = which.highest[task];
    highest = std::max(highest, run.number);
    which.ends.push_back({++which.lastSequence, task, run.number, how, clock_type::now()});
    endings.push_back({task, run.number, which.id, how, clock_type::now(), false});
    if (logRuns)
        record("executor %s: %s run %ld has ended %s", which.id.c_str(), task.c_str(),
               static_cast<long>(run.number), how.c_str());
}

void world::advance(executor &which)
{
    if (!which.up)
        return;
    const auto now = clock_type::now();
    const bool lapsed = which.clock(now) >= which.leaseEnd;
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto &[task, run] : which.running) {
        if (run.stopping && now >= run.stopsAt)
            over.emplace_back(task, "stopped");
        else if (!run.lasts && !run.stopping && now - run.startedAt >= run.duration)
            over.emplace_back(task, run.how);
        else if (lapsed)
            over.emplace_back(task, "lapsed");
    }
    for (const auto &[task, how] : over)
        finish(which, task, how);
    if (lapsed && which.leaseHeld) {
        which.leaseHeld = false;
        which.lapses.push_back(now);
        record("executor %s: its lease has lapsed", which.id.c_str());
    }
}

void world::takeLease(executor &which, std::int64_t expires)
{
    constexpr std::int64_t maxHoldMs{6000};
    const std::int64_t now = which.clock(clock_type::now());
    if (expires <= now)
        return;
    which.leaseEnd = std::max(which.leaseEnd, std::min(expires, now + maxHoldMs));
    which.leaseHeld = true;
}

void world::losePower(executor &which)
{
    which.up = false;
    for (const auto &[task, run] : which.running)
        record("executor %s: %s run %ld is lost", which.id.c_str(), task.c_str(),
               static_cast<long>(run.number));
    which.running.clear();
    which.highest.clear();
    which.ends.clear();
    which.lapses.clear();
    which.lastSequence = 0;
    which.token = 0;
    which.leaseEnd = 0;
    which.leaseHeld = false;
}

void world::startAgain(executor &which, milliseconds registersAfter)
{
    which.up = true;
    ++which.life;
    which.born = unixMs();
    which.startedAt = clock_type::now();
    record("executor %s has started again under its id, born %ld", which.id.c_str(),
           static_cast<long>(which.born));
    asio::co_spawn(
        loop,
        [this, &which, registersAfter]() -> asio::awaitable<void> {
            co_await pause(registersAfter);
            registerExecutor(which);
            record("executor %s has registered", which.id.c_str());
        },
        asio::detached);
}

asio::awaitable<answer> world::serveExecutor(executor &which, request call,
                                             clock_type::time_point acceptedAt)
{
    const int life = which.life;
    const std::string path{call.target()};
    const auto in = parse(call.body());
    if (!in)
        co_return reply(400, {});
    if (!which.up || (which.cutFrom && which.cutFrom(path, *in)))
        co_return std::nullopt;
    if (life > 1 && acceptedAt < which.startedAt)
        throw std::runtime_error{"a connection of an earlier life is reset"};
    advance(which);
    const std::int64_t clock = which.clock(clock_type::now());
    if (std::string{call["X-Target-Instance"]} != which.id)
        co_return reply(421, {{"ClockMs", clock}});
    const std::int64_t token = integerOf(*in, "FencingToken");
    if (token < which.token) {
        record("executor %s: %s with token %ld refused (fence, %ld)", which.id.c_str(),
               path.c_str(), static_cast<long>(token), static_cast<long>(which.token));
        co_return reply(409, {{"ClockMs", clock}, {"Reason", "fence"}});
    }
    which.token = token;
    answer made = reply(404, {});
    if (path == "/azurelb/run-start")
        made = startRun(which, *in);
    else if (path == "/azurelb/run-stop")
        made = stopRun(which, *in);
    else if (path == "/azurelb/hold")
        made = co_await hold(which, *in);
    else if (path == "/azurelb/pace")
        made = reply(200, {{"ClockMs", clock}});
    if (!which.up || which.life != life || (which.cutFrom && which.cutFrom(path, *in)))
        co_return std::nullopt;
    co_return made;
}

answer world::startRun(executor &which, const json::object &in)
{
    const auto now = clock_type::now();
    const std::int64_t clock = which.clock(now);
    const std::string task = textOf(in, "Task");
    const std::int64_t run = integerOf(in, "RunId");
    const auto refuse = [&](const char *reason) {
        return reply(409, {{"ClockMs", clock}, {"Reason", reason}});
    };
    const auto present = which.running.find(task);
    if (present != which.running.end() && present->second.number == run)
        return reply(200, {{"ClockMs", clock}});
    if (integerOf(in, "ExpiresMs") <= clock)
        return refuse("late");
    takeLease(which, integerOf(in, "ExpiresMs"));
    const auto highest = which.highest.find(task);
    if (present != which.running.end()
        || (highest != which.highest.end() && run <= highest->second))
        return refuse("old");
    // The specification says how long the task runs: "ms=800", or "lasts".
    const std::string spec = textOf(in, "Spec");
    executor::run made;
    made.number = run;
    made.startedAt = now;
    made.lasts = spec.starts_with("lasts");
    if (const auto at = spec.find("ms="); at != std::string::npos)
        made.duration = milliseconds{number(spec.substr(at + 3))};
    std::string besides;
    for (const auto &each : executors) {
        if (each->up && each->running.contains(task))
            besides = "run " + std::to_string(each->running.at(task).number) + " on " + each->id;
    }
    which.running[task] = made;
    starts.push_back({task, run, which.id, now, which.token, besides});
    if (logRuns)
        record("executor %s: %s run %ld starts, token %ld%s%s", which.id.c_str(), task.c_str(),
               static_cast<long>(run), static_cast<long>(which.token),
               besides.empty() ? "" : ", beside ", besides.c_str());
    return reply(200, {{"ClockMs", clock}});
}

answer world::stopRun(executor &which, const json::object &in)
{
    const auto now = clock_type::now();
    const std::string task = textOf(in, "Task");
    const std::int64_t run = integerOf(in, "RunId");
    auto &highest = which.highest[task];
    highest = std::max(highest, run);
    const auto present = which.running.find(task);
    if (present != which.running.end() && present->second.number <= run
        && !present->second.stopping) {
        present->second.stopping = true;
        present->second.stopsAt = now + which.stopTime;
        if (logRuns)
            record("executor %s: %s run %ld is told to stop", which.id.c_str(), task.c_str(),
                   static_cast<long>(run));
    }
    return reply(200, {{"ClockMs", which.clock(now)}});
}

void world::acknowledge(executor &which, std::int64_t lastSeen)
{
    const auto now = clock_type::now();
    while (!which.ends.empty() && which.ends.front().sequence <= lastSeen) {
        const executor::end each = which.ends.front();
        which.ends.pop_front();
        const bool lapsed = std::any_of(which.lapses.begin(), which.lapses.end(),
                                        [&](const auto &at) { return at >= each.at && at <= now; });
        for (auto &known : endings) {
            if (known.task == each.task && known.number == each.number && known.executor == which.id
                && known.at <= now)
                known.takenNote = !lapsed;
        }
    }
}

asio::awaitable<answer> world::hold(executor &which, json::object in)
{
    constexpr std::size_t endsAtATime{500};
    if (in.contains("ExpiresMs"))
        takeLease(which, integerOf(in, "ExpiresMs"));
    acknowledge(which, integerOf(in, "LastSeen"));
    const auto until = clock_type::now() + milliseconds{integerOf(in, "WaitMs")};
    const int life = which.life;
    while (which.ends.empty() && clock_type::now() < until && which.up && which.life == life)
        co_await pause(milliseconds{2});
    const auto now = clock_type::now();
    advance(which);
    json::array running;
    for (const auto &[task, run] : which.running) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - run.startedAt).count();
        const auto whole = run.lasts ? 900 : std::max<std::int64_t>(run.duration.count(), 1);
        running.push_back(
            json::array{task, run.number, "", std::min<std::int64_t>(100, age * 100 / whole), 0});
    }
    json::array ended;
    for (const auto &each : which.ends) {
        if (ended.size() == endsAtATime)
            break;
        ended.push_back(json::array{each.sequence, each.task, each.number, each.how, ""});
    }
    co_return reply(200,
                    {{"ClockMs", which.clock(now)},
                     {"Running", std::move(running)},
                     {"EndedRuns", std::move(ended)},
                     {"born", which.born}});
}

asio::awaitable<answer> world::serveVms(request call)
{
    const std::string target{call.target()};
    if (call.method() == http::verb::post)
        co_return vmOrder ? vmOrder(target, call) : reply(409, {{"Reason", "busy"}});
    json::array machines;
    if (machineList) {
        machines = machineList();
    } else {
        for (const auto &each : executors) {
            machines.push_back(json::object{
                {"Machine", each->machine},
                {"Pool", each->pool},
                {"State", each->up ? "up" : "down"},
                {"Zone", each->zone},
                {"Labels", json::array{"a", "r1-1"}},
                {"FreeCapacity", json::object{{"Cpu", each->cpu}, {"MemMb", each->memory}}},
                {"Id", each->id}});
        }
    }
    co_return reply(200, {{"Machines", std::move(machines)}, {"NextToken", ""}});
}

int world::checkTwice()
{
    int broken = 0;
    constexpr int mostShown{10};
    for (const start_event &each : starts) {
        if (!each.besides.empty()) {
            if (++broken <= mostShown)
                record("TWICE: %s run %ld started on %s at %.3f s beside %s", each.task.c_str(),
                       static_cast<long>(each.number), each.executor.c_str(), secondsOf(each.at),
                       each.besides.c_str());
            continue;
        }
        for (const end_event &end : endings) {
            if (end.task == each.task && end.how == "done" && end.takenNote && end.at < each.at) {
                if (++broken <= mostShown)
                    record("TWICE: %s run %ld started on %s at %.3f s, though run %ld had ended "
                           "done on %s at %.3f s and that end was taken note of",
                           each.task.c_str(), static_cast<long>(each.number), each.executor.c_str(),
                           secondsOf(each.at), static_cast<long>(end.number), end.executor.c_str(),
                           secondsOf(end.at));
                break;
            }
        }
    }
    record("%zu starts, of which %d break rule TWICE", starts.size(), broken);
    return broken;
}

} // namespace review
