#include <azurelb/http/http_client.hpp>
#include <azurelb_bench/control_sample.hpp>

#include <boost/beast/http/field.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace azurelb::bench {

namespace http = boost::beast::http;

namespace {

std::uint64_t numberIn(const std::string &text, std::string_view name)
{
    boost::json::error_code failure;
    const auto value = boost::json::parse(text, failure);
    if (failure || !value.is_object())
        return 0;
    const auto *found = value.as_object().if_contains({name.data(), name.size()});
    boost::json::error_code wrongKind;
    return found ? found->to_number<std::uint64_t>(wrongKind) : 0;
}

std::string statusOf(const boost::asio::ip::tcp::endpoint &from)
{
    return fetch(from, "/_standin/status");
}

void addMetrics(const std::string &page, std::map<std::string, double> &sums)
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

control_sample takeSample(const watched_processes &watched)
{
    control_sample sample;
    for (const auto &each : watched.executors) {
        const std::string status = statusOf(each);
        sample.executorRequests += numberIn(status, "requests");
        sample.executorsRefused += numberIn(status, "refused");
        sample.executorsMostRunning =
            std::max(sample.executorsMostRunning, numberIn(status, "most_running"));
    }
    for (const auto &each : watched.stores)
        sample.storeCalls += numberIn(statusOf(each), "requests");
    for (const auto &each : watched.operators)
        addMetrics(fetch(each, "/metrics"), sample.metrics);
    for (const int each : watched.daemons)
        sample.daemons.push_back(usageOf(each));
    sample.taken = std::chrono::steady_clock::now();
    return sample;
}

std::uint64_t runningNow(const watched_processes &watched)
{
    std::uint64_t running = 0;
    for (const auto &each : watched.executors)
        running += numberIn(statusOf(each), "running");
    return running;
}

} // namespace azurelb::bench
