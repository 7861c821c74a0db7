#pragma once

#include "mode.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace azurelb::standin {

/** Duration and concurrency of the requests on a simulated executor. */
struct executor_options
{
    std::chrono::milliseconds runDuration{};
    std::uint32_t slots{};
};

/** Simulates an executor: answers each request with its own body after a delay. */
class executor_mode final : public mode
{
public:
    executor_mode(asio::io_context &loop, executor_options options)
        : m_loop{loop}
        , m_options{options}
    { }

    void answer(const request &req, answer_handler done) override;

    /** GET runs returns the run count per X-Test-Id, or per X-Request-Id if that is absent. */
    [[nodiscard]] response control(std::string_view path, const request &req) override;

private:
    [[nodiscard]] std::chrono::milliseconds runTime(const request &req) const;
    void finish(const request &req, std::uint32_t runs, const answer_handler &done);

    asio::io_context &m_loop;
    executor_options m_options;
    wire::standin::run_counts m_runs;
};

} // namespace azurelb::standin
