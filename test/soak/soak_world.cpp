#include "soak_world.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

namespace azurelb::soak {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick{20};
/** Time in which the daemons find the configuration and each other. */
constexpr milliseconds startTime{1500};
/** After the faults all accepted jobs must end within this time: leases, takeover and 20 jobs. */
constexpr milliseconds recoveryTime{25'000};
constexpr milliseconds submitInterval{120};
constexpr std::size_t mostCallers{40};

const char *const whole{"{}"};
const char *const cutAll{R"({"cut":"CUT_ALL"})"};
const char *const silentOld{R"({"cut":"CUT_SILENT_OLD"})"};
const char *const down{R"({"down":true})"};

} // namespace

const std::array<soak_world::fault, 13> soak_world::injections{{
    {"kill", &soak_world::killDaemon},
    {"stop", &soak_world::stopDaemon},
    {"pause", &soak_world::pauseDaemon},
    {"cut", &soak_world::cutDaemon},
    {"silence", &soak_world::silenceDaemon},
    {"reset", &soak_world::resetDaemon},
    {"crash-executor", &soak_world::crashExecutor},
    {"cut-executor", &soak_world::cutExecutor},
    {"silence-executor", &soak_world::silenceExecutor},
    {"store-down", &soak_world::storeDown},
    {"store-slow", &soak_world::storeSlow},
    {"store-loses-answers", &soak_world::storeLosesAnswers},
    {"store-drops-history", &soak_world::storeDropsHistory},
}};

soak_world::soak_world(const soak_options &options)
    : m_options{options}
    , m_random{options.seed}
    , m_store{m_loop, [this] {
                  std::string list;
                  for (const soak_executor &each : m_executors)
                      list += (list.empty() ? "" : ",") + each.endpoint->vmEntry();
                  return R"({"Machines":[)" + list + R"(],"NextToken":""})";
              }}
{
    addExecutors();
    writeConfiguration();
    std::vector<soak_caller::endpoint> fronts;
    for (std::size_t index = 0; index < m_options.daemons; ++index) {
        m_daemons.push_back(
            std::make_unique<soak_daemon>(m_loop, "daemon-" + std::to_string(index),
                                          "127.0.0.1:" + std::to_string(m_store.port())));
        fronts.push_back(m_daemons.back()->front());
    }
    m_callers = std::make_unique<soak_caller>(m_loop, std::move(fronts), m_audit, m_options.seed);
}

void soak_world::addExecutors()
{
    const auto countRuns = [this](const task_id &task) {
        return static_cast<std::size_t>(std::count_if(
            m_executors.begin(), m_executors.end(), [&task](const soak_executor &each) {
                each.endpoint->advance(boot_clock::now());
                return each.endpoint->model().running().contains(task);
            }));
    };
    for (std::size_t index = 0; index < m_options.executors; ++index) {
        soak_executor added;
        added.id = "i-" + std::to_string(index);
        // Clocks of executors may be slow by 2 %.
        added.endpoint = std::make_unique<executor_endpoint>(m_loop, added.id, m_audit, countRuns,
                                                             index % 2 == 0 ? 1.0 : 0.98);
        added.proxy = std::make_unique<standin::forwarder>(
            m_loop, soak_caller::endpoint{boost::asio::ip::address_v4::loopback(), 0},
            soak_caller::endpoint{boost::asio::ip::address_v4::loopback(), added.endpoint->port()});
        m_store.state().put(
            "servers/" + added.id,
            added.endpoint->registration(standin::toString(added.proxy->address())));
        m_executors.push_back(std::move(added));
    }
}

void soak_world::writeConfiguration()
{
    const json::object queue{
        {"Name", "plans"}, {"Host", "soak.example"}, {"Prefix", "/plans/"},    {"Service", "pool"},
        {"Attempts", 4},   {"Stretch", 2.0},         {"TargetDurationMs", 500}};
    const json::object team{{"Name", "lecco"}, {"ApiKeys", json::array{"key-1"}}, {"Weight", 100}};
    m_store.state().put(
        "op/config",
        json::serialize(json::object{{"Version", 1},
                                     {"Routes", json::array{queue}},
                                     {"Services", json::array{json::object{{"Name", "pool"}}}},
                                     {"Tenants", json::array{team}},
                                     {"Limits", json::object{}}}));
}

void soak_world::play()
{
    for (auto &each : m_daemons)
        each->start();
    run(startTime, false);
    run(m_options.faultTime, true);
    heal();
    const boot_time latest = boot_clock::now() + recoveryTime;
    while (boot_clock::now() < latest && m_callers->active() > 0)
        run(milliseconds{200}, false);
    for (const job_id &job : m_audit.open())
        m_audit.report("an accepted job has not ended: " + job);
}

void soak_world::run(milliseconds time, bool withFaults)
{
    const boot_time end = boot_clock::now() + time;
    boot_time nextFault = boot_clock::now() + drawTime(100, 600);
    boot_time nextJob = boot_clock::now();
    while (boot_clock::now() < end) {
        m_loop.run_for(tick);
        const boot_time now = boot_clock::now();
        m_store.expire(now);
        for (soak_executor &each : m_executors)
            each.endpoint->advance(now);
        if (!withFaults)
            continue;
        if (now >= nextJob && m_callers->active() < mostCallers) {
            m_callers->begin();
            nextJob = now + submitInterval;
        }
        if (now >= nextFault) {
            injectOne();
            nextFault = now + drawTime(200, 1600);
        }
        revive();
    }
}

void soak_world::injectOne()
{
    const fault &chosen = injections.at(draw(injections.size()));
    m_faults += std::string{" "} + chosen.name;
    (this->*chosen.inject)();
}

/** Daemons that ended are started again, as the platform does. */
void soak_world::revive()
{
    for (auto &each : m_daemons) {
        if (each->isGone())
            each->start();
    }
}

void soak_world::heal()
{
    m_timers.clear();
    m_store.faults() = {};
    for (auto &each : m_daemons) {
        each->setStoreFault(whole);
        each->signal(SIGCONT);
    }
    for (soak_executor &each : m_executors)
        setProxy(each, whole);
    revive();
}

void soak_world::later(milliseconds pause, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_loop, pause));
    m_timers.back()->async_wait(
        [action = std::move(action)](const boost::system::error_code &cancelled) {
            if (!cancelled)
                action();
        });
}

std::size_t soak_world::draw(std::size_t below)
{
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(m_random);
}

milliseconds soak_world::drawTime(int least, int most)
{
    return milliseconds{std::uniform_int_distribution<int>{least, most}(m_random)};
}

soak_daemon &soak_world::anyDaemon()
{
    return *m_daemons.at(draw(m_daemons.size()));
}

soak_world::soak_executor &soak_world::anyExecutor()
{
    return m_executors.at(draw(m_executors.size()));
}

void soak_world::setProxy(soak_executor &executor, const std::string &fault)
{
    standin::request asked{standin::http::verb::post, "/_standin/fault", 11};
    asked.body() = fault;
    (void)executor.proxy->control("fault", asked);
}

void soak_world::killDaemon()
{
    anyDaemon().signal(SIGKILL);
}

void soak_world::stopDaemon()
{
    soak_daemon &chosen = anyDaemon();
    chosen.signal(SIGCONT);
    chosen.signal(SIGTERM);
}

void soak_world::pauseDaemon()
{
    soak_daemon &chosen = anyDaemon();
    chosen.signal(SIGSTOP);
    later(drawTime(300, 6000), [&chosen] { chosen.signal(SIGCONT); });
}

void soak_world::cutDaemon()
{
    soak_daemon &chosen = anyDaemon();
    chosen.setStoreFault(cutAll);
    later(drawTime(300, 5000), [&chosen] { chosen.setStoreFault(whole); });
}

void soak_world::silenceDaemon()
{
    anyDaemon().setStoreFault(silentOld);
}

void soak_world::resetDaemon()
{
    soak_daemon &chosen = anyDaemon();
    chosen.setStoreFault(down);
    later(drawTime(50, 1500), [&chosen] { chosen.setStoreFault(whole); });
}

void soak_world::crashExecutor()
{
    soak_executor &chosen = anyExecutor();
    chosen.endpoint->crash(boot_clock::now());
    m_store.state().put("servers/" + chosen.id,
                        chosen.endpoint->registration(standin::toString(chosen.proxy->address())));
}

void soak_world::cutExecutor()
{
    soak_executor &chosen = anyExecutor();
    setProxy(chosen, cutAll);
    later(drawTime(300, 7000), [this, &chosen] { setProxy(chosen, whole); });
}

void soak_world::silenceExecutor()
{
    setProxy(anyExecutor(), silentOld);
}

void soak_world::storeDown()
{
    m_store.faults().down = true;
    later(drawTime(200, 4000), [this] { m_store.faults().down = false; });
}

void soak_world::storeSlow()
{
    m_store.faults().delay = drawTime(50, 400);
    later(drawTime(500, 4000), [this] { m_store.faults().delay = {}; });
}

void soak_world::storeLosesAnswers()
{
    m_store.faults().lostOfTen = 4;
    later(drawTime(500, 4000), [this] { m_store.faults().lostOfTen = 0; });
}

void soak_world::storeDropsHistory()
{
    m_store.state().dropHistory();
}

std::string soak_world::logs()
{
    std::ostringstream out;
    for (auto &daemon : m_daemons) {
        for (const std::string &line : daemon->lines())
            out << daemon->name() << ' ' << line << '\n';
    }
    return out.str();
}

} // namespace azurelb::soak
