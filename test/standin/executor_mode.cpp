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

/** The id that stays the same over the attempts of one request, if a test has set it. */
std::string countedId(const request &asked)
{
    const auto given = asked.find(testIdField);
    return std::string{given == asked.end() ? asked[requestIdField] : given->value()};
}

} // namespace

void executor_mode::answer(const request &asked, answer_handler done)
{
    if (asked.target() == "/healthz") {
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
    const std::uint32_t runs = ++(*m_runs.mutable_runs())[countedId(asked)];
    auto timer = std::make_shared<asio::steady_timer>(m_loop, runTime(asked));
    timer->async_wait([this, timer, &asked, runs, done](boost::system::error_code error) {
        if (!error)
            finish(asked, runs, done);
    });
}

void executor_mode::finish(const request &asked, std::uint32_t runs, const answer_handler &done)
{
    status().set_running(status().running() - 1);
    response answer = makeResponse(http::status::ok, asked.body());
    if (const auto type = asked.find(http::field::content_type); type != asked.end())
        answer.set(http::field::content_type, type->value());
    answer.set(requestIdField, asked[requestIdField]);
    answer.set("X-Runs", std::to_string(runs));
    done(std::move(answer));
}

response executor_mode::control(std::string_view path, const request &asked)
{
    if (path == "runs")
        return makeResponse(http::status::ok, toJson(m_runs));
    return mode::control(path, asked);
}

std::chrono::milliseconds executor_mode::runTime(const request &asked) const
{
    const auto text = asked["X-Run-Ms"];
    std::chrono::milliseconds::rep value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool given = !text.empty() && error == std::errc{} && value >= 0;
    return given ? std::chrono::milliseconds{value} : m_options.run;
}

} // namespace azurelb::standin
