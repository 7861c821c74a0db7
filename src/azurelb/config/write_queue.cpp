#include <azurelb/config/write_queue.hpp>

#include <algorithm>

namespace azurelb {

write_queue::write_queue(const replica_options &options, write_environment &environment,
                         const confirmation_tracker &confirmed)
    : m_options{options}
    , m_environment{environment}
    , m_confirmation{confirmed}
{ }

void write_queue::enqueue(std::unique_ptr<store_write> write, change_handler done)
{
    m_writes.push_back(
        std::make_shared<queued_write>(queued_write{std::move(write), std::move(done)}));
    send(m_writes.back());
}

void write_queue::advance()
{
    sendDueCalls();
    queued_writes done;
    for (auto each = m_writes.begin(); each != m_writes.end();) {
        const auto next = std::next(each);
        if (isDone(**each))
            done.splice(done.end(), m_writes, each);
        each = next;
    }
    // Handlers may enqueue writes, so they run after the iteration.
    for (const std::shared_ptr<queued_write> &each : done)
        each->done(outcomeOf(*each));
}

void write_queue::send(const std::shared_ptr<queued_write> &each)
{
    each->inFlight = true;
    m_environment.call(*each->write,
                       [this, weak = std::weak_ptr<queued_write>{each}](const store_reply &reply) {
                           if (const auto alive = weak.lock())
                               onReply(*alive, reply);
                       });
}

void write_queue::onReply(queued_write &each, const store_reply &reply)
{
    const reply_time at = m_environment.now();
    each.inFlight = false;
    each.write->onReply(reply, at);
    if (each.write->currentStage() == store_write::stage::committed) {
        each.committedAt = at.now;
        m_environment.onCommitted(*each.write);
    }
    advance();
}

void write_queue::sendDueCalls()
{
    const time_point now = m_environment.now().now;
    for (const std::shared_ptr<queued_write> &each : m_writes) {
        const bool runs = each->write->currentStage() == store_write::stage::running;
        if (runs && !each->inFlight && now >= each->write->dueAt())
            send(each);
    }
}

bool write_queue::isDone(const queued_write &each) const
{
    const store_write &write = *each.write;
    if (write.currentStage() != store_write::stage::committed)
        return write.currentStage() == store_write::stage::failed;
    const time_point now = m_environment.now().now;
    const duration waited = now - each.committedAt;
    const std::size_t holders = m_confirmation.countHolders(write.writtenRevisions(), now);
    if (holders < m_confirmation.majoritySize())
        return waited >= m_options.majorityTimeout;
    return holders >= m_environment.countFreshMembers() || waited >= m_options.allMembersTimeout;
}

change_outcome write_queue::outcomeOf(const queued_write &each) const
{
    change_outcome outcome = each.write->outcome();
    if (each.write->currentStage() != store_write::stage::committed)
        return outcome;
    const time_point now = m_environment.now().now;
    const std::size_t holders = m_confirmation.countHolders(each.write->writtenRevisions(), now);
    outcome.result.set_in_force_on(static_cast<std::uint32_t>(holders));
    outcome.result.set_members(static_cast<std::uint32_t>(m_confirmation.clusterSize()));
    if (holders >= m_confirmation.majoritySize())
        return outcome;
    outcome.error = change_error::unknown;
    outcome.detail = "committed, but confirmed in force only on " + std::to_string(holders) + " of "
        + std::to_string(m_confirmation.clusterSize()) + " daemons: a majority of "
        + std::to_string(m_confirmation.majoritySize())
        + " is needed; the others apply it when they can read the store; repeat the change "
          "with the same id to query the outcome";
    return outcome;
}

} // namespace azurelb
