#include <azurelb/activity/activity_recorder.hpp>
#include <azurelb/core/clock_source.hpp>
#include <azurelb/request/slot_use.hpp>
#include <azurelb/share/slot_service.hpp>
#include <azurelb/upstream/attempt_outcome.hpp>

namespace azurelb {

slot_use::slot_use(const attempt_services &services, queue_name queue, const slot_grant &grant,
                   duration waitTime)
    : m_services{services}
    , m_queue{std::move(queue)}
    , m_grant{grant}
    , m_started{services.clock.now()}
    , m_outcome{attempt_outcome::cancelled}
{
    m_services.activity.recordStart(m_queue, m_grant.upstream.vm, waitTime);
}

slot_use::~slot_use()
{
    const duration ran = m_services.clock.now() - m_started;
    m_services.activity.recordEnd(m_queue, m_grant.upstream.vm, ran);
    m_services.slots.release(m_grant.lease, m_outcome);
}

} // namespace azurelb
