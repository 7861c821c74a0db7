#pragma once

#include <azurelb/http/http_client.hpp>
#include <azurelb/platform/platform_options.hpp>
#include <azurelb/platform/vm_list_source.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azurelb {

/**
 * Polls the platform's list of VMs. Conditional requests transfer it only if it has changed. While
 * the platform cannot be reached, the last list is kept.
 */
class polling_vm_list final : public vm_list_source
{
public:
    using size_type = std::uint64_t;

    polling_vm_list(boost::asio::io_context &loop, const platform_options &options);

    void start(kernel &services) override;

    /** Starts polling, for use without a kernel. */
    void start();

    void stop() noexcept override;

    [[nodiscard]] list_ptr list() const override { return m_list; }

    [[nodiscard]] time_point requestedAt() const override { return m_listRequestedAt; }

    void subscribe(std::function<void()> changed) override;

    /** Whether the latest poll succeeded. */
    [[nodiscard]] bool reachable() const noexcept { return m_reachable; }

    /** Number of successful polls, and of those that returned a list. */
    [[nodiscard]] size_type answeredPolls() const noexcept { return m_answeredPolls; }
    [[nodiscard]] size_type listsRead() const noexcept { return m_listsRead; }

private:
    void poll();
    void handleOutcome(const http_outcome &outcome);
    void applyResponse(const http_response &response);
    void setReachable(bool reachable);
    void scheduleNextPoll();

    platform_options m_options;
    http_client m_client;
    boost::asio::steady_timer m_timer;
    std::string m_etag;
    time_point m_pollSentAt{};
    time_point m_listRequestedAt{};
    list_ptr m_list;
    std::vector<std::function<void()>> m_subscribers;
    bool m_reachable{true};
    size_type m_answeredPolls{0};
    size_type m_listsRead{0};
};

} // namespace azurelb
