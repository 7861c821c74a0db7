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

/** One azurelbd process: its services and its life from start to graceful shutdown. */
class daemon_process
{
public:
    /** The settings must have passed their checks. */
    explicit daemon_process(settings options);
    daemon_process(const daemon_process &) = delete;
    daemon_process &operator=(const daemon_process &) = delete;

    ~daemon_process();

    /** Runs until a graceful shutdown, ordered by SIGTERM or SIGINT, is complete. */
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
    /** Outlives the planner, which is one of the services. */
    std::unique_ptr<vm_reporter> m_reporter;
    kernel m_services{};
    shutdown_sequence m_shutdown;
};

} // namespace azurelb
