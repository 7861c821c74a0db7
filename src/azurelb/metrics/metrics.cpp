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

prometheus::Counter &metrics::counter(const std::string &metric, const std::string &help,
                                      const labels &with)
{
    return prometheus::BuildCounter().Name(metric).Help(help).Register(*m_registry).Add(with);
}

prometheus::Gauge &metrics::gauge(const std::string &metric, const std::string &help,
                                  const labels &with)
{
    return prometheus::BuildGauge().Name(metric).Help(help).Register(*m_registry).Add(with);
}

prometheus::Histogram &metrics::histogram(const std::string &metric, const std::string &help,
                                          const std::vector<double> &bounds, const labels &with)
{
    auto &family = prometheus::BuildHistogram().Name(metric).Help(help).Register(*m_registry);
    return family.Add(with, bounds);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(m_registry->Collect());
}

} // namespace azurelb
