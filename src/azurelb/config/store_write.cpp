#include <azurelb/config/store_write.hpp>

namespace azurelb {

store_write::store_write(const replica_options &options, time_point startedAt)
    : m_options{options}
    , m_deadline{startedAt + options.maxCommitTime}
    , m_dueAt{startedAt}
{ }

void store_write::onReply(const store_reply &reply, const reply_time &at)
{
    if (reply.error != store_error::none) {
        onError(reply.error, at.now);
        return;
    }
    m_outcomeUnknown = false;
    m_dueAt = at.now;
    onResponse(reply.response, at.wallNow);
    if (m_stage == stage::running && at.now >= m_deadline)
        fail(change_error::unavailable,
             "the change was not made: the document was changed "
             "concurrently at every attempt; try again");
}

void store_write::fail(change_error error, std::string detail)
{
    m_stage = stage::failed;
    m_outcome.error = error;
    m_outcome.detail = std::move(detail);
}

void store_write::markCommitted(const document_revisions &written, wire::change_result result)
{
    m_stage = stage::committed;
    m_writtenRevisions = written;
    m_outcome.result = std::move(result);
}

void store_write::onError(store_error error, time_point now)
{
    m_outcomeUnknown = m_outcomeUnknown || (error != store_error::refused && !isRead());
    m_dueAt = now + m_options.commitRetryDelay;
    if (!m_outcomeUnknown)
        fail(change_error::unavailable, "this call made no change: the store cannot be reached");
    else if (now >= m_deadline)
        fail(change_error::unknown,
             "the store did not respond in time: the change may have taken "
             "effect or may still do so; repeat it with the same id");
}

} // namespace azurelb
