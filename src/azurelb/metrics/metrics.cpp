#include <azurelb/metrics/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace azurelb {

metrics::metrics()
    : m_registry{std::make_shared<prometheus::Registry>()}
{ }

metrics::~metrics() = default;

prometheus::Counter &metrics::counter(const std::string &metricName, const std::string &help,
                                      const labels &labelValues)
{
    return prometheus::BuildCounter()
        .Name(metricName)
        .Help(help)
        .Register(*m_registry)
        .Add(labelValues);
}

prometheus::Gauge &metrics::gauge(const std::string &metricName, const std::string &help,
                                  const labels &labelValues)
{
    return prometheus::BuildGauge()
        .Name(metricName)
        .Help(help)
        .Register(*m_registry)
        .Add(labelValues);
}

prometheus::Histogram &metrics::histogram(const std::string &metricName, const std::string &help,
                                          const std::vector<double> &bounds,
                                          const labels &labelValues)
{
    auto &family = prometheus::BuildHistogram().Name(metricName).Help(help).Register(*m_registry);
    return family.Add(labelValues, bounds);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(m_registry->Collect());
}

} // namespace azurelb
