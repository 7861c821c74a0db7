#include <azurelb/core/kernel.hpp>

#include <algorithm>

namespace azurelb {

kernel::~kernel()
{
    stop();
    while (!m_services.empty())
        m_services.pop_back();
}

void kernel::start()
{
    try {
        for (; m_started < m_services.size(); ++m_started)
            m_services[m_started]->start(*this);
    } catch (...) {
        stop();
        throw;
    }
}

void kernel::stop() noexcept
{
    while (m_started > 0)
        m_services[--m_started]->stop();
}

void kernel::insert(value_type added)
{
    const auto hasSameName = [&added](const value_type &other) {
        return other->name() == added->name();
    };
    if (m_started > 0)
        throw kernel_error("service registered after the start: " + std::string{added->name()});
    if (std::any_of(m_services.begin(), m_services.end(), hasSameName))
        throw kernel_error("service name registered twice: " + std::string{added->name()});
    m_services.push_back(std::move(added));
}

service &kernel::findService(std::string_view name) const
{
    const auto hasSameName = [name](const value_type &other) {
        return other->name() == name;
    };
    const auto found = std::find_if(m_services.begin(), m_services.end(), hasSameName);
    if (found == m_services.end())
        throw kernel_error("no such service: " + std::string{name});
    return **found;
}

} // namespace azurelb
