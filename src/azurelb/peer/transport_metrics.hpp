#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/metrics/fwd.hpp>
#include <azurelb/peer/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>

namespace azurelb {

/** Exports the counters of the peer transport as metrics, updated once a second. */
class transport_metrics final : public service
{
public:
    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"transport_metrics"};

    explicit transport_metrics(boost::asio::io_context &loop);

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }

    /** Looks up the transport and the metrics and starts the updates. */
    void start(kernel &services) override;

    void stop() noexcept override;

private:
    void updateCounters();
    void setCounter(const std::string &metric, const std::string &help, std::uint64_t value);

    boost::asio::steady_timer m_timer;
    const nng_transport *m_transport{nullptr};
    metrics *m_metrics{nullptr};
};

} // namespace azurelb
