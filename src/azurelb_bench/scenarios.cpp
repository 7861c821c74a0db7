#include <azurelb/core/split_list.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb_bench/flags.hpp>
#include <azurelb_bench/load_run.hpp>
#include <azurelb_bench/run_report.hpp>
#include <azurelb_bench/scenarios.hpp>
#include <azurelb_bench/team_option.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iterator>
#include <numeric>
#include <sstream>
#include <thread>

namespace azurelb::bench {

namespace {

using endpoint = boost::asio::ip::tcp::endpoint;
using rate_function = std::function<double(std::chrono::duration<double>)>;

std::vector<endpoint> parseEndpoints(const std::string &flag, const std::string &text)
{
    std::vector<endpoint> found;
    for (const std::string &each : splitList(text, ',')) {
        const auto parsed = parseEndpoint(each);
        if (!parsed)
            throw usage_error{std::string{"--"}.append(flag).append(" has '").append(each).append(
                "'; allowed: IP:PORT")};
        found.push_back(*parsed);
    }
    return found;
}

std::vector<team_option> parseTeams()
{
    constexpr std::size_t parts = 4;
    std::vector<team_option> found;
    for (const std::string &each : splitList(FLAGS_teams, ',')) {
        const auto values = splitList(each, '/');
        if (values.size() != parts)
            throw usage_error{"--teams has '" + each + "'; allowed: NAME/KEY/SHARE/LIMIT"};
        found.push_back({values[0], values[1], std::stod(values[2]), std::stoull(values[3])});
    }
    if (found.empty())
        throw usage_error{"--teams is empty; allowed: NAME/KEY/SHARE/LIMIT,..."};
    return found;
}

monitored_processes monitoredProcesses()
{
    monitored_processes all{parseEndpoints("operators", FLAGS_operators),
                            parseEndpoints("executors", FLAGS_executors),
                            parseEndpoints("stores", FLAGS_stores),
                            {}};
    for (const std::string &each : splitList(FLAGS_pids, ','))
        all.daemonPids.push_back(std::stoi(each));
    return all;
}

std::vector<endpoint> parseDaemons()
{
    auto all = parseEndpoints("daemons", FLAGS_daemons);
    if (all.empty())
        throw usage_error{"--daemons is empty; allowed: IP:PORT,..."};
    return all;
}

stream_options makeStreamOptions(const endpoint &target, const team_option &team,
                                 const std::string &path, rate_function rate)
{
    return {target,
            team.name,
            team.key,
            path,
            static_cast<std::size_t>(FLAGS_body_bytes),
            std::chrono::milliseconds{FLAGS_run_ms},
            std::chrono::milliseconds{FLAGS_timeout_ms},
            std::move(rate),
            static_cast<std::size_t>(FLAGS_connections)};
}

rate_function constantRate(double rate)
{
    return [rate](std::chrono::duration<double>) {
        return rate;
    };
}

std::chrono::milliseconds runDuration()
{
    return std::chrono::seconds{FLAGS_seconds};
}

/** Runs the streams and stores their results and the counter samples in the report. */
void runStreams(const std::vector<stream_options> &streams, run_report &report)
{
    load_run run{streams, runDuration()};
    report.duration = runDuration();
    report.before = takeCounterSample(monitoredProcesses());
    run.run();
    report.after = takeCounterSample(monitoredProcesses());
    const auto results = run.results();
    for (std::size_t index = 0; index < results.size(); ++index) {
        report.total.add(results[index]);
        report.teams[streams[index].team].add(results[index]);
    }
}

/** Calls the executors directly, without daemons, at the rate of --rate. */
stream_result runDirect()
{
    const auto executors = parseEndpoints("executors", FLAGS_executors);
    std::vector<stream_options> streams;
    const double rate =
        FLAGS_rate / static_cast<double>(std::max<std::size_t>(1, executors.size()));
    std::transform(executors.begin(), executors.end(), std::back_inserter(streams),
                   [rate](const endpoint &each) {
                       return makeStreamOptions(each, {}, "/", constantRate(rate));
                   });
    load_run run{streams, runDuration()};
    run.run();
    stream_result total;
    for (const stream_result &each : run.results())
        total.add(each);
    return total;
}

std::string queuePath(const std::string &queue)
{
    return "/v1/queues/" + queue;
}

std::vector<std::string> parseQueues()
{
    auto all = splitList(FLAGS_queues, ',');
    if (all.empty())
        throw usage_error{"--queues is empty; allowed: NAME,..."};
    return all;
}

std::vector<stream_options> steadyStreams()
{
    const auto targets = parseDaemons();
    const auto callers = parseTeams();
    const auto parts = static_cast<double>(targets.size() * callers.size());
    std::vector<stream_options> streams;
    for (const endpoint &target : targets) {
        for (const team_option &team : callers)
            streams.push_back(makeStreamOptions(target, team, queuePath(parseQueues().front()),
                                                constantRate(FLAGS_rate / parts)));
    }
    return streams;
}

void runSteady(run_report &report)
{
    report.direct = runDirect();
    runStreams(steadyStreams(), report);
}

/** Skips the direct calls, so that the time of the zone's change counts from the start. */
void runZone(run_report &report)
{
    runStreams(steadyStreams(), report);
}

/** Queues peak in turn: five times the mean during a queue's peak, otherwise 5 % of the mean. */
rate_function peakRate(std::size_t queue, std::size_t queueCount, double mean)
{
    return [queue, queueCount, mean](std::chrono::duration<double> time) {
        constexpr double peakSeconds = 4;
        constexpr double peakFactor = 5;
        constexpr double offPeakFactor = 0.05;
        const auto turn = static_cast<std::size_t>(time.count() / peakSeconds) % queueCount;
        return mean * (turn == queue ? peakFactor : offPeakFactor);
    };
}

/** Halves the calls: half to the first daemon, half of the rest to the second, and so on. */
double geometricPart(std::size_t index, std::size_t count)
{
    const double part = std::pow(0.5, static_cast<double>(index + 1));
    return index + 1 == count ? 2 * part : part;
}

std::vector<stream_options> peakStreams()
{
    const auto targets = parseDaemons();
    const auto callers = parseTeams();
    const auto names = parseQueues();
    std::vector<stream_options> streams;
    for (std::size_t queue = 0; queue < names.size(); ++queue) {
        for (std::size_t team = 0; team < callers.size(); ++team) {
            const double mean = FLAGS_rate / static_cast<double>(callers.size());
            for (std::size_t index = 0; index < targets.size(); ++index) {
                // Each team has its own preferred daemon.
                const auto &target = targets[(index + team) % targets.size()];
                const double part = mean * geometricPart(index, targets.size());
                streams.push_back(makeStreamOptions(target, callers[team], queuePath(names[queue]),
                                                    peakRate(queue, names.size(), part)));
            }
        }
    }
    return streams;
}

void addShareErrors(run_report &report)
{
    const auto callers = parseTeams();
    const double shares =
        std::accumulate(callers.begin(), callers.end(), 0.0,
                        [](double sum, const team_option &each) { return sum + each.share; });
    const auto completed = static_cast<double>(std::max<std::uint64_t>(1, report.total.completed));
    for (const team_option &each : callers)
        report.shareErrors[each.name] =
            static_cast<double>(report.teams[each.name].completed) / completed
            - each.share / shares;
}

void runPeak(run_report &report)
{
    runStreams(peakStreams(), report);
    addShareErrors(report);
}

/** Polls the number of running calls from a thread of its own while the streams run. */
class concurrency_monitor
{
public:
    explicit concurrency_monitor(std::uint64_t limit)
        : m_limit{limit}
        , m_processes{monitoredProcesses()}
        , m_thread{[this] {
            pollRunning();
        }}
    { }
    concurrency_monitor(const concurrency_monitor &) = delete;
    concurrency_monitor &operator=(const concurrency_monitor &) = delete;
    ~concurrency_monitor() { stop(); }

    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    /** Precondition, also of timeToLimit(): stop() has returned. */
    [[nodiscard]] std::uint64_t maxRunning() const noexcept { return m_maxRunning; }
    [[nodiscard]] std::chrono::milliseconds timeToLimit() const noexcept { return m_timeToLimit; }

private:
    void pollRunning()
    {
        constexpr std::uint64_t percent = 95;
        constexpr std::uint64_t whole = 100;
        constexpr std::chrono::milliseconds interval{20};
        const auto start = load_stream::clock::now();
        while (!m_stopped) {
            const std::uint64_t running = countRunningRequests(m_processes);
            m_maxRunning = std::max(m_maxRunning, running);
            const auto now = load_stream::clock::now();
            if (m_timeToLimit.count() == 0 && running * whole >= m_limit * percent)
                m_timeToLimit = std::chrono::ceil<std::chrono::milliseconds>(now - start);
            std::this_thread::sleep_for(interval);
        }
    }

    std::uint64_t m_limit;
    monitored_processes m_processes;
    std::atomic<bool> m_stopped{false};
    std::uint64_t m_maxRunning{};
    std::chrono::milliseconds m_timeToLimit{};
    std::thread m_thread;
};

void runLimit(run_report &report)
{
    const team_option team = parseTeams().front();
    concurrency_monitor monitor{team.limit};
    runStreams({makeStreamOptions(parseDaemons().front(), team, queuePath(parseQueues().front()),
                                  constantRate(FLAGS_rate))},
               report);
    monitor.stop();
    report.maxRunning = monitor.maxRunning();
    report.maxOverLimit =
        static_cast<std::int64_t>(monitor.maxRunning()) - static_cast<std::int64_t>(team.limit);
    report.timeToLimit = monitor.timeToLimit();
}

void runConnections(run_report &report)
{
    boost::asio::io_context loop;
    std::vector<boost::asio::ip::tcp::socket> sockets;
    report.before = takeCounterSample(monitoredProcesses());
    for (int index = 0; index < FLAGS_connections; ++index) {
        sockets.emplace_back(loop);
        sockets.back().connect(parseDaemons().front());
    }
    std::this_thread::sleep_for(std::chrono::seconds{FLAGS_seconds});
    report.after = takeCounterSample(monitoredProcesses());
    report.duration = runDuration();
}

void runIdle(run_report &report)
{
    report.before = takeCounterSample(monitoredProcesses());
    std::this_thread::sleep_for(std::chrono::seconds{FLAGS_seconds});
    report.after = takeCounterSample(monitoredProcesses());
    report.duration = runDuration();
}

struct scenario_entry
{
    std::string_view name;
    void (*run)(run_report &);
};

constexpr scenario_entry scenarios[]{
    {"steady", runSteady},           {"peak", runPeak}, {"limit", runLimit}, {"zone", runZone},
    {"connections", runConnections}, {"idle", runIdle}};

} // namespace

run_report runScenario()
{
    const auto *const found =
        std::find_if(std::begin(scenarios), std::end(scenarios),
                     [](const scenario_entry &each) { return each.name == FLAGS_scenario; });
    if (found == std::end(scenarios))
        throw usage_error{"--scenario is '" + FLAGS_scenario
                          + "'; allowed: steady, peak, limit, zone, connections, idle, seed"};
    run_report report;
    report.scenario = FLAGS_scenario;
    report.label = FLAGS_label;
    found->run(report);
    return report;
}

} // namespace azurelb::bench
