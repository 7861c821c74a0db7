#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/platform/listed_departures.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace azurelb {

class vm_list_source;

/** Service that passes the platform's VM list to listed_departures once a second. */
class departure_tracker final : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"departures"};

    departure_tracker(boost::asio::io_context &loop, const clock_source &clock, const vm_id &self);

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }
    void start(kernel &services) override;
    void stop() noexcept override;

    [[nodiscard]] const departure_source &departures() const noexcept { return m_departures; }

private:
    void update();

    const clock_source &m_clock;
    boost::asio::steady_timer m_timer;
    vm_list_source *m_vmList{nullptr};
    listed_departures m_departures;
};

} // namespace azurelb
