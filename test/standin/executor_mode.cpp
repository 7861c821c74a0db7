#include "executor_mode.hpp"
#include "json.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <memory>

namespace azurelb::standin {

namespace {

constexpr std::string_view requestIdField{"X-Request-Id"};
constexpr std::string_view testIdField{"X-Test-Id"};

/** X-Test-Id, which is the same for all attempts of a request, or X-Request-Id if absent. */
std::string countedId(const request &req)
{
    const auto given = req.find(testIdField);
    return std::string{given == req.end() ? req[requestIdField] : given->value()};
}

} // namespace

void executor_mode::answer(const request &req, answer_handler done)
{
    if (req.target() == "/healthz") {
        done(makeResponse(http::status::ok, R"({"status":"ok"})"));
        return;
    }
    if (status().running() >= m_options.slots) {
        status().set_refused(status().refused() + 1);
        response refused = makeResponse(http::status::service_unavailable, "{}");
        refused.set("Azurelb-Run", "not-run");
        done(std::move(refused));
        return;
    }
    status().set_running(status().running() + 1);
    status().set_most_running(std::max(status().most_running(), status().running()));
    const std::uint32_t runs = ++(*m_runs.mutable_runs())[countedId(req)];
    auto timer = std::make_shared<asio::steady_timer>(m_loop, runTime(req));
    timer->async_wait([this, timer, &req, runs, done](boost::system::error_code error) {
        if (!error)
            finish(req, runs, done);
    });
}

void executor_mode::finish(const request &req, std::uint32_t runs, const answer_handler &done)
{
    status().set_running(status().running() - 1);
    response answer = makeResponse(http::status::ok, req.body());
    if (const auto type = req.find(http::field::content_type); type != req.end())
        answer.set(http::field::content_type, type->value());
    answer.set(requestIdField, req[requestIdField]);
    answer.set("X-Runs", std::to_string(runs));
    done(std::move(answer));
}

response executor_mode::control(std::string_view path, const request &req)
{
    if (path == "runs")
        return makeResponse(http::status::ok, toJson(m_runs));
    return mode::control(path, req);
}

std::chrono::milliseconds executor_mode::runTime(const request &req) const
{
    const auto text = req["X-Run-Ms"];
    std::chrono::milliseconds::rep value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool given = !text.empty() && error == std::errc{} && value >= 0;
    return given ? std::chrono::milliseconds{value} : m_options.runDuration;
}

} // namespace azurelb::standin
