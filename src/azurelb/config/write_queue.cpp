#include <azurelb/config/write_queue.hpp>

#include <algorithm>

namespace azurelb {

write_queue::write_queue(const replica_options &options, write_environment &environment,
                         const confirmation &confirmed)
    : m_options{options}
    , m_environment{environment}
    , m_confirmation{confirmed}
{ }

void write_queue::insert(std::unique_ptr<store_write> write, change_handler done)
{
    m_tasks.push_back(std::make_shared<task>(task{std::move(write), std::move(done)}));
    send(m_tasks.back());
}

void write_queue::advance()
{
    makeCalls();
    tasks done;
    for (auto each = m_tasks.begin(); each != m_tasks.end();) {
        const auto next = std::next(each);
        if (isDone(**each))
            done.splice(done.end(), m_tasks, each);
        each = next;
    }
    // Handlers may insert writes.
    for (const std::shared_ptr<task> &each : done)
        each->done(outcomeOf(*each));
}

void write_queue::send(const std::shared_ptr<task> &each)
{
    each->inFlight = true;
    m_environment.call(*each->write,
                       [this, weak = std::weak_ptr<task>{each}](const store_reply &reply) {
                           if (const auto alive = weak.lock())
                               onReply(*alive, reply);
                       });
}

void write_queue::onReply(task &each, const store_reply &reply)
{
    const reply_time at = m_environment.now();
    each.inFlight = false;
    each.write->onReply(reply, at);
    if (each.write->at() == store_write::stage::committed) {
        each.committedAt = at.now;
        m_environment.onCommitted(*each.write);
    }
    advance();
}

void write_queue::makeCalls()
{
    const time_point now = m_environment.now().now;
    for (const std::shared_ptr<task> &each : m_tasks) {
        const bool runs = each->write->at() == store_write::stage::running;
        if (runs && !each->inFlight && now >= each->write->dueAt())
            send(each);
    }
}

bool write_queue::isDone(const task &each) const
{
    const store_write &write = *each.write;
    if (write.at() != store_write::stage::committed)
        return write.at() == store_write::stage::failed;
    const time_point now = m_environment.now().now;
    const duration waited = now - each.committedAt;
    const std::size_t holders = m_confirmation.countHolders(write.writtenAt(), now);
    if (holders < m_confirmation.majority())
        return waited >= m_options.acceptDeadline;
    return holders >= m_environment.countFresh() || waited >= m_options.acceptWait;
}

change_outcome write_queue::outcomeOf(const task &each) const
{
    change_outcome outcome = each.write->outcome();
    if (each.write->at() != store_write::stage::committed)
        return outcome;
    const time_point now = m_environment.now().now;
    const std::size_t holders = m_confirmation.countHolders(each.write->writtenAt(), now);
    outcome.result.set_in_force_on(static_cast<std::uint32_t>(holders));
    outcome.result.set_members(static_cast<std::uint32_t>(m_confirmation.size()));
    if (holders >= m_confirmation.majority())
        return outcome;
    outcome.error = change_error::unknown;
    outcome.detail = "committed, but proved in force only on " + std::to_string(holders) + " of "
        + std::to_string(m_confirmation.size()) + " daemons: a majority of "
        + std::to_string(m_confirmation.majority())
        + " is needed; the others take it from the store as far as they reach it; repeat the "
          "change with the same id to ask again";
    return outcome;
}

} // namespace azurelb
