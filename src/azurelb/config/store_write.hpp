#pragma once

#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/document_revisions.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/store/store_reply.hpp>

namespace azurelb {

class local_documents;

/** Time at which a reply came, by both clocks. */
struct reply_time
{
    time_point now{};
    wall_time wallNow{};
};

/**
 * One guarded write of a document, from its first call of the store to a known end. A transaction
 * whose answer was lost is sent again as it was: it holds a condition that it makes false itself,
 * so that it takes effect at most once, and the answer to the repetition tells whether it did. Once
 * a repetition has been answered, no earlier copy still under way can take effect.
 */
class store_write
{
public:
    enum class stage { running, committed, failed };

    store_write(const replica_options &options, time_point startedAt);
    store_write(const store_write &) = delete;
    store_write &operator=(const store_write &) = delete;
    virtual ~store_write() = default;

    /** The call to make now. Precondition: the write runs and no call is under way. */
    [[nodiscard]] virtual const wire::etcd::txn_request &request() const = 0;

    /** True if the call only reads. */
    [[nodiscard]] virtual bool isRead() const = 0;

    /** Hands the written document over. Precondition: the write is committed. */
    virtual void applyTo(local_documents &documents) const = 0;

    /** Takes the answer to the call. */
    void onReply(const store_reply &reply, const reply_time &at);

    [[nodiscard]] stage currentStage() const noexcept { return m_stage; }

    /** When the next call is to be made. Valid while the write runs. */
    [[nodiscard]] time_point dueAt() const noexcept { return m_dueAt; }

    /** What the operator is told, but for the number of daemons. Valid once it runs no more. */
    [[nodiscard]] const change_outcome &outcome() const noexcept { return m_outcome; }

    /** Revisions that hold the write, 0 for the other document. Valid once committed. */
    [[nodiscard]] const document_revisions &writtenRevisions() const noexcept
    {
        return m_writtenRevisions;
    }

protected:
    void fail(change_error error, std::string detail);
    void markCommitted(const document_revisions &written, wire::change_result result);

private:
    /** Takes an answer that is no error. */
    virtual void onResponse(const wire::etcd::txn_response &response, wall_time wallNow) = 0;

    void onError(store_error error, time_point now);

    replica_options m_options;
    time_point m_deadline;
    time_point m_dueAt;
    /** A transaction was sent whose effect is not known. */
    bool m_outcomeUnknown{false};
    stage m_stage{stage::running};
    change_outcome m_outcome{};
    document_revisions m_writtenRevisions{};
};

} // namespace azurelb
