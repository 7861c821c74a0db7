#include <azurelb/core/clock_source.hpp>
#include <azurelb/core/kernel.hpp>
#include <azurelb/platform/vm_list_source.hpp>
#include <azurelb/wire/platform.pb.h>
#include <azurelbd/departure_tracker.hpp>

namespace azurelb {

namespace {

/** Upper bound on the delay of the platform's VM list. */
constexpr std::chrono::seconds maxListStaleness{30};
constexpr std::chrono::seconds updateInterval{1};

} // namespace

departure_tracker::departure_tracker(boost::asio::io_context &loop, const clock_source &clock,
                                     const vm_id &self)
    : m_clock{clock}
    , m_timer{loop}
    , m_departures{self, maxListStaleness}
{ }

void departure_tracker::start(kernel &services)
{
    m_vmList = &services.find<vm_list_source>(vm_list_source::serviceName);
    update();
}

void departure_tracker::stop() noexcept
{
    m_timer.cancel();
}

void departure_tracker::update()
{
    if (const auto list = m_vmList->list())
        m_departures.update(*list, m_clock.now());
    m_timer.expires_after(updateInterval);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled)
            update();
    });
}

} // namespace azurelb
