#include <azurelb/http/http_client.hpp>
#include <azurelb_bench/counter_sample.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace azurelb::bench {

namespace http = boost::beast::http;

namespace {

std::uint64_t numberField(const std::string &text, std::string_view name)
{
    boost::json::error_code failure;
    const auto value = boost::json::parse(text, failure);
    if (failure || !value.is_object())
        return 0;
    const auto *found = value.as_object().if_contains({name.data(), name.size()});
    boost::json::error_code conversionError;
    return found ? found->to_number<std::uint64_t>(conversionError) : 0;
}

std::string fetchStatus(const boost::asio::ip::tcp::endpoint &from)
{
    return fetch(from, "/_standin/status");
}

void sumMetrics(const std::string &page, std::map<std::string, double> &sums)
{
    std::istringstream lines{page};
    for (std::string line; std::getline(lines, line);) {
        const auto gap = line.rfind(' ');
        if (line.empty() || line.front() == '#' || gap == std::string::npos)
            continue;
        const std::string name = line.substr(0, std::min(line.find('{'), gap));
        sums[name] += std::strtod(line.c_str() + gap, nullptr);
    }
}

} // namespace

std::string fetch(const boost::asio::ip::tcp::endpoint &from, const std::string &path)
{
    constexpr unsigned http11 = 11;
    constexpr std::chrono::milliseconds longest{2000};
    boost::asio::io_context loop;
    http_client client{loop, from};
    http_request request{http::verb::get, path, http11};
    request.set(http::field::host, "azurelb");
    std::string body;
    client.call(std::move(request), {longest, longest}, [&](http_outcome outcome) {
        body = std::move(outcome.response.body());
        loop.stop();
    });
    loop.run();
    return body;
}

counter_sample takeCounterSample(const monitored_processes &processes)
{
    counter_sample sample;
    for (const auto &each : processes.executors) {
        const std::string status = fetchStatus(each);
        sample.executorRequests += numberField(status, "requests");
        sample.executorRefusals += numberField(status, "refused");
        sample.maxRunningPerExecutor =
            std::max(sample.maxRunningPerExecutor, numberField(status, "most_running"));
    }
    for (const auto &each : processes.stores)
        sample.storeCalls += numberField(fetchStatus(each), "requests");
    for (const auto &each : processes.operators)
        sumMetrics(fetch(each, "/metrics"), sample.metrics);
    for (const int each : processes.daemonPids)
        sample.daemons.push_back(readProcessUsage(each));
    sample.takenAt = std::chrono::steady_clock::now();
    return sample;
}

std::uint64_t countRunningRequests(const monitored_processes &processes)
{
    std::uint64_t running = 0;
    for (const auto &each : processes.executors)
        running += numberField(fetchStatus(each), "running");
    return running;
}

} // namespace azurelb::bench
