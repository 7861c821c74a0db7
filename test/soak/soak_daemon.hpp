#pragma once

#include <standin/forwarder.hpp>
#include <support/child_process.hpp>
#include <support/reserved_port.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace azurelb::soak {

/** An azurelb_platformd process that reaches the store through its own proxy. */
class soak_daemon
{
public:
    soak_daemon(boost::asio::io_context &loop, std::string name, const std::string &store);

    /** Starts the daemon, keeping the output of the previous process. */
    void start();
    /** Sends the signal to the process that this object started, if it still runs. */
    void signal(int number);
    /** Whether the process has ended or none was started. */
    [[nodiscard]] bool hasEnded();
    /** Sets the proxy's fault, given as JSON of the fault message. */
    void setStoreFault(const std::string &fault);

    [[nodiscard]] boost::asio::ip::tcp::endpoint callerAddress() const
    {
        return m_callerPort.address();
    }
    [[nodiscard]] const std::string &name() const noexcept { return m_name; }
    [[nodiscard]] test::child_process::string_list lines();

private:
    std::string m_name;
    standin::forwarder m_proxy;
    test::reserved_port m_callerPort;
    test::reserved_port m_readinessPort;
    test::reserved_port m_relayPort;
    std::unique_ptr<test::child_process> m_process{};
    /** Output of previous processes of this daemon. */
    test::child_process::string_list m_lines{};
};

} // namespace azurelb::soak
