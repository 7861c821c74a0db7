#include "world.hpp"

#include <boost/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

namespace standin {

namespace json = boost::json;

namespace {

const auto programStart = std::chrono::steady_clock::now();
std::mutex recordMutex;

std::string environment(const char *name)
{
    const char *const value = std::getenv(name);
    return value ? value : "";
}

json::object parse(const std::string &text)
{
    boost::system::error_code failure;
    json::value value = json::parse(text, failure);
    return failure || !value.is_object() ? json::object{} : value.as_object();
}

std::int64_t numberOf(const json::object &in, std::string_view name)
{
    const json::value *const found = in.if_contains(name);
    boost::system::error_code failure;
    return found && found->is_number() ? found->to_number<std::int64_t>(failure) : 0;
}

std::string textOf(const json::object &in, std::string_view name)
{
    const json::value *const found = in.if_contains(name);
    return found && found->is_string() ? std::string{found->as_string()} : std::string{};
}

constexpr char digits[]{"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};

std::string encodeBase64(const std::string &text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each)
            group = group << 8U
                | (at + each < text.size() ? static_cast<unsigned char>(text[at + each]) : 0U);
        for (std::size_t each = 0; each < 4; ++each)
            out += at + each <= text.size() ? digits[group >> (18U - 6U * each) & 63U] : '=';
    }
    return out;
}

std::string decodeBase64(const std::string &text)
{
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char each : text) {
        const char *const found = std::find(std::begin(digits), std::end(digits) - 1, each);
        if (found == std::end(digits) - 1)
            break;
        bits = bits << 6U | static_cast<std::uint32_t>(found - digits);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return out;
}

constexpr std::size_t pageItems{500};
constexpr std::size_t valueBytes{1048576};

} // namespace

std::int64_t elapsedMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - programStart)
        .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time});
}

void record(const std::string &line)
{
    static std::ofstream file{environment("RECORD")};
    const std::lock_guard lock{recordMutex};
    const std::int64_t now = elapsedMs();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(now) / 1000);
    file << time << line << std::endl;
}

bool waitFor(std::int64_t limitMs, const std::function<bool()> &condition)
{
    const std::int64_t end = elapsedMs() + limitMs;
    while (!condition()) {
        if (elapsedMs() >= end)
            return false;
        sleepMs(20);
    }
    return true;
}

// The store.

store::store()
{
    m_port = serve([this](const http_request &request) { return answer(request); });
    std::thread{[this] {
        while (true) {
            sleepMs(10);
            expireLeases();
        }
    }}.detach();
}

void store::apply(const std::string &key, const std::string *value, std::int64_t leaseId)
{
    if (value) {
        item &entry = m_items[key];
        entry.value = *value;
        entry.revision = m_revision;
        entry.created = entry.created == 0 ? m_revision : entry.created;
        entry.lease = leaseId;
        m_history.push_back({key, m_revision, false, *value});
    } else if (m_items.erase(key) != 0) {
        m_history.push_back({key, m_revision, true, {}});
    }
}

void store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock{m_mutex};
    ++m_revision;
    apply(key, &value, 0);
    m_changed.notify_all();
}

void store::remove(const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    ++m_revision;
    apply(key, nullptr, 0);
    m_changed.notify_all();
}

std::string store::get(const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string{} : found->second.value;
}

std::map<std::string, std::string> store::list(const std::string &prefix)
{
    const std::lock_guard lock{m_mutex};
    std::map<std::string, std::string> found;
    for (const auto &[key, entry] : m_items) {
        if (key.starts_with(prefix))
            found[key] = entry.value;
    }
    return found;
}

void store::expireLeases()
{
    const std::lock_guard lock{m_mutex};
    for (auto each = m_leases.begin(); each != m_leases.end();) {
        if (each->second.end > elapsedMs()) {
            ++each;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, entry] : m_items) {
            if (entry.lease == each->first)
                keys.push_back(key);
        }
        ++m_revision;
        for (const std::string &key : keys)
            apply(key, nullptr, 0);
        each = m_leases.erase(each);
        m_changed.notify_all();
    }
}

std::string store::encode(const std::string &key, const item &entry) const
{
    return json::serialize(json::object{{"Key", key},
                                        {"Value", encodeBase64(entry.value)},
                                        {"Revision", entry.revision},
                                        {"Created", entry.created},
                                        {"Lease", entry.lease}});
}

std::optional<http_response> store::answer(const http_request &request)
{
    sleepMs(answerMs / 2);
    const std::string path = request.path();
    http_response made{404, "{}"};
    if (path == "/azurelb/kv-key")
        made = getKey(request);
    else if (path == "/azurelb/kv-range")
        made = getRange(request);
    else if (path == "/azurelb/kv-watch")
        made = watch(request);
    else if (path == "/azurelb/kv-txn") {
        const auto outcome = transact(request);
        if (!outcome)
            return std::nullopt;
        made = *outcome;
    }
    else
        made = changeLease(request);
    sleepMs(answerMs / 2);
    return made;
}

http_response store::getKey(const http_request &request)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_items.find(request.parameter("Key"));
    if (found == m_items.end())
        return {404, json::serialize(json::object{{"CurrentRev", m_revision}})};
    json::object out = parse(encode(found->first, found->second));
    out["CurrentRev"] = m_revision;
    return {200, json::serialize(out)};
}

http_response store::getRange(const http_request &request)
{
    const std::lock_guard lock{m_mutex};
    const std::string prefix = request.parameter("Prefix");
    const std::string after = request.parameter("After");
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto each = m_items.lower_bound(prefix);
         each != m_items.end() && each->first.starts_with(prefix); ++each) {
        if (!after.empty() && each->first <= after)
            continue;
        if (count == pageItems) {
            more = true;
            break;
        }
        items += (count++ == 0 ? "" : ",") + encode(each->first, each->second);
    }
    return {200, "{\"items\":[" + items + "],\"HasMore\":" + (more ? "true" : "false")
                + ",\"CurrentRev\":" + std::to_string(m_revision) + "}"};
}

http_response store::watch(const http_request &request)
{
    const std::string prefix = request.parameter("Prefix");
    const std::int64_t after = std::strtoll(request.parameter("After").c_str(), nullptr, 10);
    const auto until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds{std::strtoll(request.parameter("WaitMs").c_str(), nullptr, 10)};
    std::unique_lock lock{m_mutex};
    while (true) {
        std::string events;
        const auto first =
            std::find_if(m_history.begin(), m_history.end(),
                         [after](const change &each) { return each.revision > after; });
        for (auto each = first; each != m_history.end(); ++each) {
            if (!each->key.starts_with(prefix))
                continue;
            json::object out{{"Key", each->key}, {"Revision", each->revision}};
            if (each->deleted)
                out["Deleted"] = true;
            else
                out["Value"] = encodeBase64(each->value);
            events += (events.empty() ? "" : ",") + json::serialize(out);
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until)
            return {200, "{\"events\":[" + events
                        + "],\"CurrentRev\":" + std::to_string(m_revision) + "}"};
        m_changed.wait_until(lock, until);
    }
}

std::optional<http_response> store::transact(const http_request &request)
{
    if (!delayWithoutAnswer)
        return commit(request.body);
    const json::object in = parse(request.body);
    commit_info info;
    info.hasConditions = !in.at("ExpectedRev").as_array().empty();
    for (const json::value &each : in.at("Puts").as_array()) {
        info.puts.push_back(textOf(each.as_object(), "Key"));
        info.values.push_back(decodeBase64(textOf(each.as_object(), "Value")));
    }
    for (const json::value &each : in.at("Remove").as_array())
        info.removals.emplace_back(each.as_string());
    const std::int64_t delay = delayWithoutAnswer(info, request.body);
    if (delay == 0)
        return commit(request.body);
    std::thread{[this, delay, body = request.body] {
        sleepMs(delay);
        record("store: a write without an answer is done late: status "
               + std::to_string(commit(body).status));
    }}.detach();
    // The connection stays silent until the caller gives up.
    sleepMs(10'000);
    return std::nullopt;
}

http_response store::commit(const std::string &body)
{
    const json::object in = parse(body);
    commit_info info;
    for (const json::value &each : in.at("Puts").as_array()) {
        if (decodeBase64(textOf(each.as_object(), "Value")).size() > valueBytes) {
            record("store: refuses a write with a value of over " + std::to_string(valueBytes)
                   + " bytes");
            return {400, "{}"};
        }
    }
    std::int64_t revision = 0;
    {
        const std::lock_guard lock{m_mutex};
        bool holds = true;
        std::string current;
        for (const json::value &each : in.at("ExpectedRev").as_array()) {
            info.hasConditions = true;
            const std::string key = textOf(each.as_object(), "Key");
            const auto found = m_items.find(key);
            const std::int64_t actual = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && actual == numberOf(each.as_object(), "Revision");
            current += current.empty() ? "" : ",";
            current += found == m_items.end()
                ? json::serialize(json::object{{"Key", key}, {"Revision", 0}})
                : encode(key, found->second);
        }
        if (!holds)
            return {412, "{\"items\":[" + current + "]}"};
        for (const json::value &each : in.at("Puts").as_array()) {
            const std::int64_t leaseId = numberOf(each.as_object(), "Lease");
            if (leaseId != 0 && !m_leases.contains(leaseId))
                return {404, "{}"};
        }
        ++m_revision;
        for (const json::value &each : in.at("Puts").as_array()) {
            const json::object &entry = each.as_object();
            const std::string value = decodeBase64(textOf(entry, "Value"));
            info.puts.push_back(textOf(entry, "Key"));
            apply(info.puts.back(), &value, numberOf(entry, "Lease"));
        }
        for (const json::value &each : in.at("Remove").as_array()) {
            info.removals.emplace_back(each.as_string());
            apply(info.removals.back(), nullptr, 0);
        }
        revision = m_revision;
        m_changed.notify_all();
    }
    if (onCommit)
        onCommit(info);
    return {200, json::serialize(json::object{{"Revision", revision}})};
}

http_response store::changeLease(const http_request &request)
{
    const std::string path = request.path();
    const std::int64_t id =
        std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const std::lock_guard lock{m_mutex};
    if (path == "/azurelb/kv-lease") {
        const std::int64_t term = numberOf(parse(request.body), "TtlMs");
        m_leases[++m_lastLease] = {term, elapsedMs() + term};
        return {200, json::serialize(json::object{{"Lease", m_lastLease}, {"TtlMs", term}})};
    }
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return {404, "{}"};
    if (path.starts_with("/azurelb/kv-keep/"))
        found->second.end = elapsedMs() + found->second.term;
    else
        found->second.end = 0;
    return {200,
            json::serialize(json::object{{"Lease", id}, {"TtlMs", found->second.term}})};
}

// Executors.

std::int64_t executor::maxHoldMs{6000};
std::int64_t executor::stopGraceMs{900};
std::int64_t executor::gangWaitMs{3000};
std::map<std::string, std::size_t> executor::gangSizes;
std::function<std::int64_t(const std::string &)> executor::workMs;
std::function<bool(const std::string &)> executor::isQuiet;

namespace {

/** Guards all executors: the members of a gang run on several of them. */
std::recursive_mutex executorMutex;
std::vector<executor *> allExecutors;
std::vector<run_event> allEvents;
/** Members that are present, by gang (ID.K.STEP) and run. */
std::map<std::pair<std::string, std::int64_t>, std::size_t> presentMembers;

std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

std::vector<run_event> executor::events()
{
    const std::lock_guard lock{executorMutex};
    return allEvents;
}

executor::executor(store &platform, options with)
    : m_store{platform}
    , m_options{std::move(with)}
{
    m_port = serve([this](const http_request &request) { return answer(request); });
    const std::lock_guard lock{executorMutex};
    allExecutors.push_back(this);
    std::thread{[this] {
        while (true) {
            sleepMs(5);
            tick();
        }
    }}.detach();
}

std::int64_t executor::clock() const
{
    return 1000 + elapsedMs() - m_bornAt;
}

void executor::start()
{
    std::string entry;
    {
        const std::lock_guard lock{executorMutex};
        m_up = true;
        m_born = unixMs();
        m_bornAt = elapsedMs();
        entry = json::serialize(json::object{
            {"Service", m_options.service},
            {"Address", "127.0.0.1:" + std::to_string(m_port)},
            {"Zone", m_options.zone},
            {"Version", 1},
            {"Capacity", 64},
            {"State", "ready"},
            {"SeqNo", 1},
            {"Machine", m_options.machine},
            {"FreeCapacity", json::object{{"Cpu", m_options.cpu}, {"MemMb", m_options.memory}}},
            {"Labels", json::array{"a", m_options.rack}},
            {"born", m_born}});
        record("executor " + m_options.id + " starts, born " + std::to_string(m_born));
    }
    m_store.put("servers/" + m_options.id, entry);
}

void executor::cut()
{
    const std::lock_guard lock{executorMutex};
    record("executor " + m_options.id + " is cut off from the daemons");
    m_cut = true;
}

void executor::heal()
{
    const std::lock_guard lock{executorMutex};
    record("executor " + m_options.id + " is connected again");
    m_cut = false;
}

void executor::note(const std::string &kind, const std::string &task, std::int64_t run,
                    std::int64_t number)
{
    allEvents.push_back({elapsedMs(), kind, task, run, m_options.id, number});
    if (isQuiet && isQuiet(task))
        return;
    record("executor " + m_options.id + ": " + kind + " " + task + " run " + std::to_string(run)
           + (number != 0 ? " number " + std::to_string(number) : std::string{}));
}

void executor::extendLease(std::int64_t expires)
{
    m_lease = std::max(m_lease, std::min(expires, clock() + maxHoldMs));
}

void executor::finish(const std::string &task, const std::string &how)
{
    const auto found = m_runs.find(task);
    const std::int64_t id = found->second.id;
    m_runs.erase(found);
    m_highest[task] = std::max(m_highest[task], id);
    m_ends.push_back({++m_lastNumber, task, id, how});
    note(how, task, id, m_lastNumber);
    if (how != "done" && gangSizes.contains(stepOf(task)))
        presentMembers.erase({stepOf(task), id});
}

void executor::tick()
{
    const std::lock_guard lock{executorMutex};
    if (!m_up)
        return;
    const std::int64_t now = elapsedMs();
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto &[task, each] : m_runs) {
        const auto size = gangSizes.find(stepOf(task));
        const bool isGang = size != gangSizes.end();
        const std::size_t present = isGang ? presentMembers[{stepOf(task), each.id}] : 0;
        if (isGang && each.begunAt == 0 && present == size->second)
            each.begunAt = now;
        if (clock() >= m_lease)
            ended.emplace_back(task, "lapsed");
        else if (each.stopAt != 0 && now >= each.stopAt)
            ended.emplace_back(task, "stopped");
        else if (isGang && each.begunAt != 0 && present != size->second)
            ended.emplace_back(task, "broken");
        else if (isGang && each.begunAt == 0 && now >= each.presentAt + gangWaitMs)
            ended.emplace_back(task, "alone");
        else if (each.begunAt != 0 && now >= each.begunAt + workMs(task))
            ended.emplace_back(task, "done");
    }
    for (const auto &[task, how] : ended)
        finish(task, how);
}

std::optional<http_response> executor::answer(const http_request &request)
{
    // What arrives while the executor is cut off is lost; its connections stay silent meanwhile.
    const auto isLost = [this] {
        const std::lock_guard lock{executorMutex};
        return m_cut || !m_up;
    };
    if (isLost()) {
        while (isLost())
            sleepMs(20);
        return std::nullopt;
    }
    if (request.header("x-target-instance") != m_options.id)
        return http_response{421, "{}"};
    const std::string path = request.path();
    std::optional<http_response> made = http_response{404, "{}"};
    if (path == "/azurelb/run-start")
        made = startRun(request.body);
    else if (path == "/azurelb/run-stop")
        made = stopRun(request.body);
    else if (path == "/azurelb/hold")
        made = hold(request.body);
    else if (path == "/azurelb/pace")
        made = http_response{200, json::serialize(json::object{{"ClockMs", clock()}})};
    // A response that is on its way when the cut begins is lost, too.
    return isLost() ? std::nullopt : made;
}

http_response executor::startRun(const std::string &body)
{
    const std::lock_guard lock{executorMutex};
    const json::object in = parse(body);
    const std::string task = textOf(in, "Task");
    const std::int64_t id = numberOf(in, "RunId");
    const auto refuse = [this](const char *reason) {
        return http_response{
            409, json::serialize(json::object{{"ClockMs", clock()}, {"Reason", reason}})};
    };
    if (!m_up)
        return {503, "{}"};
    const http_response accepted{200, json::serialize(json::object{{"ClockMs", clock()}})};
    if (numberOf(in, "FencingToken") < m_token)
        return refuse("fence");
    m_token = numberOf(in, "FencingToken");
    if (numberOf(in, "ExpiresMs") <= clock())
        return refuse("late");
    extendLease(numberOf(in, "ExpiresMs"));
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.id == id)
        return accepted;
    if (id <= m_highest[task] || running != m_runs.end())
        return refuse("old");
    run made{id, elapsedMs()};
    if (gangSizes.contains(stepOf(task)))
        ++presentMembers[{stepOf(task), id}];
    else
        made.begunAt = made.presentAt;
    m_runs[task] = made;
    note("start", task, id);
    return accepted;
}

http_response executor::stopRun(const std::string &body)
{
    const std::lock_guard lock{executorMutex};
    const json::object in = parse(body);
    const std::string task = textOf(in, "Task");
    const std::int64_t id = numberOf(in, "RunId");
    if (numberOf(in, "FencingToken") < m_token)
        return {409, json::serialize(json::object{{"ClockMs", clock()}, {"Reason", "fence"}})};
    m_token = numberOf(in, "FencingToken");
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.id == id && found->second.stopAt == 0) {
        found->second.stopAt = elapsedMs() + stopGraceMs / 2;
        note("stop ordered", task, id);
    }
    if (found == m_runs.end())
        m_highest[task] = std::max(m_highest[task], id);
    return {200, json::serialize(json::object{{"ClockMs", clock()}})};
}

std::optional<http_response> executor::hold(const std::string &body)
{
    const json::object in = parse(body);
    const std::int64_t until = elapsedMs() + numberOf(in, "WaitMs");
    bool first = true;
    while (true) {
        {
            const std::lock_guard lock{executorMutex};
            if (m_cut)
                return std::nullopt;
            if (numberOf(in, "FencingToken") < m_token)
                return http_response{
                    409, json::serialize(json::object{{"ClockMs", clock()}, {"Reason", "fence"}})};
            m_token = numberOf(in, "FencingToken");
            if (first) {
                while (!m_ends.empty() && m_ends.front().number <= numberOf(in, "LastSeen")) {
                    note("acknowledged", m_ends.front().task, m_ends.front().run,
                         m_ends.front().number);
                    m_ends.pop_front();
                }
                if (in.contains("ExpiresMs"))
                    extendLease(numberOf(in, "ExpiresMs"));
            }
            first = false;
            if (!m_ends.empty() || elapsedMs() >= until) {
                json::array running;
                for (const auto &[task, each] : m_runs) {
                    const std::int64_t work = std::max<std::int64_t>(workMs(task), 1);
                    const std::int64_t percent = each.begunAt == 0
                        ? 0
                        : std::min<std::int64_t>(99, (elapsedMs() - each.begunAt) * 100 / work);
                    running.push_back(json::array{task, each.id, "", percent, 0});
                }
                json::array ended;
                for (const end &each : m_ends) {
                    if (ended.size() < pageItems)
                        ended.push_back(
                            json::array{each.number, each.task, each.run, each.how, ""});
                }
                return http_response{
                    200, json::serialize(json::object{{"ClockMs", clock()},
                                                      {"Running", std::move(running)},
                                                      {"EndedRuns", std::move(ended)},
                                                      {"born", m_born}})};
            }
        }
        sleepMs(5);
    }
}

std::uint16_t serveMachines(const std::vector<executor *> &executors)
{
    return serve([executors](const http_request &request) -> std::optional<http_response> {
        if (request.path() != "/azurelb/machines")
            return http_response{409, "{\"Reason\":\"busy\"}"};
        json::array rows;
        for (const executor *const each : executors) {
            const executor::options &with = each->settings();
            rows.push_back(json::object{
                {"Machine", with.machine},
                {"Pool", with.service},
                {"State", each->isUp() ? "up" : "down"},
                {"Zone", with.zone},
                {"Labels", json::array{"a", with.rack}},
                {"FreeCapacity", json::object{{"Cpu", with.cpu}, {"MemMb", with.memory}}},
                {"Id", with.id}});
        }
        return http_response{
            200, json::serialize(json::object{{"Machines", std::move(rows)}, {"NextToken", ""}})};
    });
}

// Daemons.

daemon_process::daemon_process(std::string vm, std::string zone, std::uint16_t store,
                               std::uint16_t machines)
    : m_vm{std::move(vm)}
    , m_flags{environment("WORK") + "/" + m_vm + ".flags"}
    , m_front{freePort()}
    , m_ready{freePort()}
{
    const auto address = [](std::uint16_t port) {
        return "127.0.0.1:" + std::to_string(port);
    };
    // platform/node.flags with the figures of the sites' pages.
    std::ofstream{m_flags} << "--vm_id=" << m_vm << "\n--zone=" << zone
                           << "\n--listen=" << address(m_front)
                           << "\n--readiness_listen=" << address(m_ready)
                           << "\n--relay_listen=" << address(freePort())
                           << "\n--metrics_ip=127.0.0.1\n--metrics_port=" << freePort()
                           << "\n--store_endpoint=" << address(store)
                           << "\n--vm_service_endpoint=" << address(machines)
                           << "\n--processors=0.25\n--shutdown_grace_s=6\n--max_lease_ms="
                           << executor::maxHoldMs
                           << "\n--stop_grace_ms=" << executor::stopGraceMs
                           << "\n--vm_lease_ms=3000\n--move_s=1.5\n--maintenance_s=2"
                              "\n--cancellation_bound_ms=3000\n--drain_bound_ms=2000"
                              "\n--configuration_bound_ms=2000\n--evacuation_bound_ms=5000\n";
}

void daemon_process::start()
{
    const std::string program = environment("DAEMON");
    const std::string flag = "--flagfile=" + m_flags;
    const std::string log = environment("WORK") + "/" + m_vm + "-" + std::to_string(++m_starts);
    const pid_t made = fork();
    if (made == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execl(program.c_str(), program.c_str(), flag.c_str(), nullptr);
        _exit(127);
    }
    m_process = made;
    record("daemon " + m_vm + " starts");
}

void daemon_process::signal(int number)
{
    record("daemon " + m_vm + " gets signal " + std::to_string(number));
    if (m_process > 0)
        kill(m_process, number);
}

bool daemon_process::hasEnded()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_process = 0;
        record("daemon " + m_vm + " has ended");
    }
    return m_process == 0;
}

void daemon_process::join(std::int64_t limitMs)
{
    if (!waitFor(limitMs, [this] { return hasEnded(); })) {
        kill(m_process, SIGKILL);
        waitFor(5000, [this] { return hasEnded(); });
    }
}

bool daemon_process::isReady()
{
    return call(m_ready, "GET", "/azurelb/ready", {}, {}, 500).status == 200;
}

http_response caller::send(daemon_process &to, const std::string &method, const std::string &path,
                           const std::string &body) const
{
    std::map<std::string, std::string> headers{{"Host", host}, {"X-Deadline-Ms", "3000"}};
    if (!key.empty())
        headers["Authorization"] = "Token " + key;
    const http_response answer = call(to.front(), method, path, headers, body, 3000);
    record("caller: " + method + " " + path + " at " + to.vm() + " -> "
           + std::to_string(answer.status) + " "
           + (answer.body.size() < 60 ? answer.body : std::string{"(body)"}));
    return answer;
}

} // namespace standin
