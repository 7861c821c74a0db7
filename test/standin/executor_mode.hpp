#pragma once

#include "mode.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>

namespace azurelb::standin {

/** How an executor behaves. */
struct executor_options
{
    std::chrono::milliseconds run{};
    std::uint32_t slots{};
};

/** An executor: runs any request for a while and echoes its body. */
class executor_mode final : public mode
{
public:
    executor_mode(asio::io_context &loop, executor_options options)
        : m_loop{loop}
        , m_options{options}
    { }

    [[nodiscard]] awaitable<response> answer(const request &asked) override;

    /** GET runs shows how often each request id ran. */
    [[nodiscard]] response control(std::string_view path, const request &asked) override;

private:
    [[nodiscard]] std::chrono::milliseconds runTime(const request &asked) const;
    awaitable<response> run(const request &asked);

    asio::io_context &m_loop;
    executor_options m_options;
    wire::standin::run_counts m_runs;
};

} // namespace azurelb::standin
