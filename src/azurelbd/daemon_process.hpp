#pragma once

#include <azurelb/core/kernel.hpp>
#include <azurelb/core/steady_clock_source.hpp>
#include <azurelb/settings/settings.hpp>
#include <azurelbd/shutdown_sequence.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>

namespace azurelb {

class vm_reporter;

/** One azurelbd process: owns its services and runs them from start to graceful shutdown. */
class daemon_process
{
public:
    /** Creates all services. Precondition: the settings are valid. */
    explicit daemon_process(settings options);
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    ~daemon_process();

    /** Starts the services and blocks until the shutdown started by SIGTERM or SIGINT ends. */
    void run();

private:
    void addPlatformServices();
    void addFleetServices();
    void addRequestServices();
    void awaitSignal();
    void finishCoroutines();

    settings m_settings;
    steady_clock_source m_clock{};
    boost::asio::io_context m_loop{1};
    boost::asio::signal_set m_signals;
    /** Declared before m_services because the planner, one of the services, refers to it. */
    std::unique_ptr<vm_reporter> m_reporter;
    kernel m_services{};
    shutdown_sequence m_shutdown;
};

} // namespace azurelb
