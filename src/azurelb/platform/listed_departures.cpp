#include <azurelb/platform/listed_departures.hpp>
#include <azurelb/wire/platform.pb.h>

#include <algorithm>

namespace azurelb {

listed_departures::listed_departures(vm_id self, std::chrono::milliseconds listLag)
    : m_self{std::move(self)}
    , m_listLag{listLag}
{ }

void listed_departures::update(const wire::vm_list &list, time_point now)
{
    const auto isSelf = [this](const wire::listed_vm &each) {
        return each.id() == m_self.value();
    };
    if (std::none_of(list.vms().begin(), list.vms().end(), isSelf))
        return;
    for (const wire::listed_vm &each : list.vms())
        m_lastListed[vm_id{each.id()}] = now;
    for (auto each = m_lastListed.begin(); each != m_lastListed.end();) {
        const bool departed = now - each->second > m_listLag;
        if (departed)
            m_departed.insert(each->first);
        each = departed ? m_lastListed.erase(each) : std::next(each);
    }
    for (const wire::listed_vm &each : list.vms())
        m_departed.erase(vm_id{each.id()});
}

bool listed_departures::isGone(const member &daemon) const
{
    return m_departed.contains(daemon.vm);
}

} // namespace azurelb
