#pragma once

#include <azurelb/core/service.hpp>
#include <azurelb/metrics/fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace azurelb {

/** The process's metrics. Returned references stay valid as long as the service exists. */
class metrics final : public service
{
public:
    using labels = std::map<std::string, std::string>;

    /** Name of the service in the kernel. */
    static constexpr std::string_view serviceName{"metrics"};

    metrics();
    ~metrics() override;

    [[nodiscard]] std::string_view name() const noexcept override { return serviceName; }
    void start(kernel &) override { }
    void stop() noexcept override { }

    /** Counter with this name and these labels; equal arguments return the same counter. */
    [[nodiscard]] prometheus::Counter &
    counter(const std::string &metricName, const std::string &help, const labels &labelValues = {});

    [[nodiscard]] prometheus::Gauge &gauge(const std::string &metricName, const std::string &help,
                                           const labels &labelValues = {});

    /** Histogram whose buckets have the given upper bounds, in the metric's unit. */
    [[nodiscard]] prometheus::Histogram &histogram(const std::string &metricName,
                                                   const std::string &help,
                                                   const std::vector<double> &bounds,
                                                   const labels &labelValues = {});

    /** All metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace azurelb
