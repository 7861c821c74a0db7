#pragma once

#include "caller_client.hpp"
#include "child_process.hpp"
#include "reserved_port.hpp"
#include "standin_process.hpp"

#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/operations.pb.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace azurelb::test {

/** Size and settings of a running_fleet. */
struct fleet_options
{
    std::size_t daemons{2};
    std::size_t executors{4};
    std::uint32_t slots{8};
    std::chrono::milliseconds runDuration{5};
    std::uint32_t teamLimit{64};
    /** Puts a TCP forwarder between the daemons and each executor. */
    bool forwarders{false};
    std::vector<std::string> daemonFlags{};
};

/** Response to a request of an operator; status 0 without one. */
struct operator_answer
{
    unsigned status{0};
    std::string body{};
};

/** Polls until the condition holds; returns false on timeout. */
template <typename Condition>
[[nodiscard]] bool eventually(Condition condition, std::chrono::seconds limit = defaultWaitLimit)
{
    constexpr std::chrono::milliseconds pollInterval{20};
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

/**
 * A complete installation on loopback: simulated store, platform and executors, and real daemons.
 * The executors are spread round-robin over four availability zones, in one pool that serves the
 * queues "plan" (idempotent), "order" (not idempotent) and "open" (requires no key). The team
 * "lecco" has a key.
 */
class running_fleet
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;
    using run_counts = std::map<std::string, std::uint32_t>;

    /** Blocks until every daemon is ready and has the configuration and all executors. */
    explicit running_fleet(fleet_options options = {});

    [[nodiscard]] standin_process &store() noexcept { return m_store; }
    [[nodiscard]] standin_process &executors() noexcept { return m_executors; }
    [[nodiscard]] standin_process &forwarder(std::size_t index) { return *m_forwarders.at(index); }
    [[nodiscard]] child_process &daemon(std::size_t index) { return *m_daemons.at(index).process; }
    [[nodiscard]] std::size_t size() const noexcept { return m_daemons.size(); }

    /** Restarts a daemon with the same name and ports. */
    void restart(std::size_t index);

    [[nodiscard]] bool isReady(std::size_t index) const;
    [[nodiscard]] wire::status status(std::size_t index) const;

    /** Sends a change to a daemon; generates an id if the change has none. */
    operator_answer change(std::size_t index, wire::change wanted);

    /** Sends GET to the operator port of a daemon. */
    [[nodiscard]] operator_answer get(std::size_t index, const std::string &path) const;

    /** Waits until the listed daemons have applied this generation; returns false on timeout. */
    [[nodiscard]] bool waitForGeneration(std::uint64_t generation,
                                         const std::vector<std::size_t> &daemons);

    /** Address at which a daemon accepts callers. */
    [[nodiscard]] endpoint callerAddress(std::size_t index) const;

    [[nodiscard]] const std::string &key() const noexcept { return m_key; }
    [[nodiscard]] const std::string &operatorToken() const noexcept { return m_token; }

    /** Returns a request with the key of the team. */
    [[nodiscard]] call makeCall(std::string queue, std::string id = {}) const;

    /** Sends one request over a new connection. */
    [[nodiscard]] call_answer send(std::size_t index, const call &request) const;

    /** Number of runs per X-Test-Id over all executors. */
    [[nodiscard]] run_counts runs();

    /** Number of running requests over all executors. */
    [[nodiscard]] std::uint32_t running();

private:
    struct daemon_entry
    {
        reserved_port callers{};
        reserved_port operators{};
        reserved_port peers{};
        std::unique_ptr<child_process> process{};
    };

    [[nodiscard]] std::vector<std::string> flagsOf(std::size_t index) const;
    void startForwarders();
    void publishVms();
    void storeFleetDocument();
    void configure();
    void applyChange(const wire::change &wanted);

    fleet_options m_options;
    std::string m_key{"alb-0123456789abcdef0123456789abcdef"};
    std::string m_token{"operator-token-0123456789"};
    standin_process m_store;
    standin_process m_platform;
    standin_process m_executors;
    std::vector<std::unique_ptr<standin_process>> m_forwarders;
    std::vector<daemon_entry> m_daemons;
    std::uint64_t m_changes{0};
};

} // namespace azurelb::test
