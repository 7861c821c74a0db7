#include <azurelb/core/kernel.hpp>
#include <azurelb/metrics/metrics.hpp>
#include <azurelb/peer/nng_transport.hpp>
#include <azurelb/peer/transport_metrics.hpp>

#include <prometheus/counter.h>

namespace azurelb {

transport_metrics::transport_metrics(boost::asio::io_context &loop)
    : m_timer{loop}
{ }

void transport_metrics::start(kernel &services)
{
    m_transport = &services.find<nng_transport>(peer_transport::serviceName);
    m_metrics = &services.find<metrics>(metrics::serviceName);
    updateCounters();
}

void transport_metrics::stop() noexcept
{
    m_timer.cancel();
}

void transport_metrics::updateCounters()
{
    constexpr std::chrono::seconds interval{1};
    const transport_counters now = m_transport->counters();
    setCounter("azurelb_peer_messages_sent_total", "Messages sent to peers.", now.messagesSent);
    setCounter("azurelb_peer_messages_received_total", "Messages received from peers.",
               now.messagesReceived);
    setCounter("azurelb_peer_messages_not_sent_total", "Messages to peers that were not sent.",
               now.messagesNotSent);
    setCounter("azurelb_peer_bytes_sent_total", "Bytes sent to peers.", now.bytesSent);
    setCounter("azurelb_peer_bytes_received_total", "Bytes received from peers.",
               now.bytesReceived);
    m_timer.expires_after(interval);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled)
            updateCounters();
    });
}

void transport_metrics::setCounter(const std::string &metric, const std::string &help,
                                   std::uint64_t value)
{
    prometheus::Counter &counter = m_metrics->counter(metric, help);
    counter.Increment(static_cast<double>(value) - counter.Value());
}

} // namespace azurelb
