#include "executor_mode.hpp"
#include "json.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

namespace azurelb::standin {

namespace {

constexpr std::string_view requestIdField{"X-Request-Id"};

} // namespace

awaitable<response> executor_mode::answer(const request &asked)
{
    if (asked.target() == "/healthz")
        co_return makeResponse(http::status::ok, R"({"status":"ok"})");
    if (status().running() >= m_options.slots) {
        status().set_refused(status().refused() + 1);
        response refused = makeResponse(http::status::service_unavailable, "{}");
        refused.set("Azurelb-Run", "not-run");
        co_return refused;
    }
    status().set_running(status().running() + 1);
    status().set_most_running(std::max(status().most_running(), status().running()));
    response done = co_await run(asked);
    status().set_running(status().running() - 1);
    co_return done;
}

awaitable<response> executor_mode::run(const request &asked)
{
    const std::string id{asked[requestIdField]};
    const std::uint32_t runs = ++(*m_runs.mutable_runs())[id];
    const std::chrono::milliseconds time = runTime(asked);
    if (time.count() > 0) {
        asio::steady_timer timer{m_loop, time};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    response done = makeResponse(http::status::ok, asked.body());
    if (const auto type = asked.find(http::field::content_type); type != asked.end())
        done.set(http::field::content_type, type->value());
    done.set(requestIdField, id);
    done.set("X-Runs", std::to_string(runs));
    co_return done;
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
