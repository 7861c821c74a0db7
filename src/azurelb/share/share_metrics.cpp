#include <azurelb/share/share_metrics.hpp>

#include <azurelb/metrics/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace azurelb {

namespace {

[[nodiscard]] std::string toString(slot_refusal refusal)
{
    static constexpr const char *names[]{"none",        "full",        "late",
                                         "unconfirmed", "no_upstream", "stopping"};
    return names[static_cast<std::size_t>(refusal)];
}

} // namespace

share_metrics::share_metrics(metrics &registry, const pool_name &pool)
    : m_registry{registry}
    , m_pool{pool.value()}
    , m_granted{registry.counter("azurelb_slots_granted_total", "Requests that got a slot.",
                                 {{"pool", m_pool}})}
    , m_moves{registry.counter("azurelb_dispatcher_moves_total",
                               "Changes of the pool's dispatcher.", {{"pool", m_pool}})}
    , m_waiting{registry.gauge("azurelb_slots_waiting",
                               "Requests that wait at this daemon for a slot.", {{"pool", m_pool}})}
    , m_held{registry.gauge("azurelb_slots_held", "Executor slots assigned to this daemon.",
                            {{"pool", m_pool}})}
    , m_busy{registry.gauge("azurelb_slots_busy", "Executor slots in use by this daemon.",
                            {{"pool", m_pool}})}
    , m_assigned{registry.gauge("azurelb_dispatcher_slots_assigned",
                                "Slots assigned over the fleet, on the dispatcher.",
                                {{"pool", m_pool}})}
    , m_capacity{registry.gauge("azurelb_dispatcher_slots",
                                "Usable slots over the fleet, on the dispatcher.",
                                {{"pool", m_pool}})}
    , m_openCircuits{registry.gauge("azurelb_dispatcher_open_circuits",
                                    "Upstreams whose circuit is open, on the "
                                    "dispatcher.",
                                    {{"pool", m_pool}})}
{ }

void share_metrics::count(const slot_grant &grant)
{
    if (grant.refusal == slot_refusal::none)
        return m_granted.Increment();
    prometheus::Counter *&counter = m_refused[grant.refusal];
    if (!counter)
        counter = &m_registry.counter("azurelb_slots_refused_total",
                                      "Requests that got no slot, by reason.",
                                      {{"pool", m_pool}, {"reason", toString(grant.refusal)}});
    counter->Increment();
}

void share_metrics::countDispatcherChange()
{
    m_moves.Increment();
}

void share_metrics::setClient(std::size_t waiting, std::size_t held, std::size_t busy)
{
    m_waiting.Set(static_cast<double>(waiting));
    m_held.Set(static_cast<double>(held));
    m_busy.Set(static_cast<double>(busy));
}

void share_metrics::setUsedSlotTime(const team_name &team, std::chrono::microseconds used)
{
    prometheus::Gauge *&gauge = m_used[team];
    if (!gauge)
        gauge = &m_registry.gauge("azurelb_slot_seconds_used",
                                  "Slot time used since the start, by team.",
                                  {{"pool", m_pool}, {"team", team.value()}});
    gauge->Set(std::chrono::duration<double>(used).count());
}

void share_metrics::setDispatcher(std::size_t held, std::size_t capacity, std::size_t openCircuits)
{
    m_assigned.Set(static_cast<double>(held));
    m_capacity.Set(static_cast<double>(capacity));
    m_openCircuits.Set(static_cast<double>(openCircuits));
}

} // namespace azurelb
