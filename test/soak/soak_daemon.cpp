#include "soak_daemon.hpp"

#include "executor_endpoint.hpp"

#include <azurelb/http/endpoint.hpp>

#include <csignal>
#include <utility>

#include <sys/wait.h>

namespace azurelb::soak {

namespace {

boost::asio::ip::tcp::endpoint anyPort()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

} // namespace

soak_daemon::soak_daemon(boost::asio::io_context &loop, std::string name, const std::string &store)
    : m_name{std::move(name)}
    , m_proxy{loop, anyPort(), *parseEndpoint(store)}
{ }

void soak_daemon::start()
{
    if (m_process) {
        const auto lines = m_process->lines();
        m_lines.insert(m_lines.end(), lines.begin(), lines.end());
    }
    m_process.reset();
    const std::string store = standin::toString(m_proxy.address());
    m_process = std::make_unique<test::child_process>(
        test::builtProgram("azurelb_platformd"),
        test::child_process::string_list{
            "--vm_id=" + m_name, "--zone=zone-a", "--listen=" + m_callerPort.text(),
            "--readiness_listen=" + m_readinessPort.text(), "--relay_listen=" + m_relayPort.text(),
            "--store_endpoint=" + store, "--vm_service_endpoint=" + store, "--metrics_port=0",
            "--shutdown_grace_s=3",
            "--max_lease_ms=" + std::to_string(executor_endpoint::maxLease.count())});
}

void soak_daemon::signal(int number)
{
    if (!hasEnded())
        m_process->signal(number);
}

bool soak_daemon::hasEnded()
{
    return !m_process || m_process->hasEnded();
}

void soak_daemon::setStoreFault(const std::string &fault)
{
    standin::request request{standin::http::verb::post, "/_standin/fault", 11};
    request.body() = fault;
    (void)m_proxy.control("fault", request);
}

test::child_process::string_list soak_daemon::lines()
{
    auto all = m_lines;
    if (m_process) {
        const auto now = m_process->lines();
        all.insert(all.end(), now.begin(), now.end());
    }
    return all;
}

} // namespace azurelb::soak
