#pragma once

#include <azurelb/config/change_outcome.hpp>
#include <azurelb/config/document_revisions.hpp>
#include <azurelb/config/replica_options.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/store/store_reply.hpp>

namespace azurelb {

class local_documents;

/** Time at which a reply was received, by the monotonic and the wall clock. */
struct reply_time
{
    time_point now{};
    wall_time wallNow{};
};

/**
 * One conditional write of a document, from its first store call to a known outcome. A transaction
 * whose response was lost is repeated unchanged: applying it invalidates its own condition, so that
 * it takes effect at most once, and the response to the repetition shows whether it did. Once a
 * repetition has been answered, no earlier copy in flight can take effect.
 */
class store_write
{
public:
    enum class stage { running, committed, failed };

    store_write(const replica_options &options, time_point startedAt);
    store_write(const store_write &) = delete;
    store_write &operator=(const store_write &) = delete;
    virtual ~store_write() = default;

    /** The next request to send. Precondition: the write is running and no call is in flight. */
    [[nodiscard]] virtual const wire::etcd::txn_request &request() const = 0;

    /** True if request() only reads. */
    [[nodiscard]] virtual bool isRead() const = 0;

    /**
     * Applies the written document to the local documents. Precondition: the write is committed.
     */
    virtual void applyTo(local_documents &documents) const = 0;

    /** Processes the reply to the last request. */
    void onReply(const store_reply &reply, const reply_time &at);

    [[nodiscard]] stage currentStage() const noexcept { return m_stage; }

    /** Time at which the next call is due. Valid while the write is running. */
    [[nodiscard]] time_point dueAt() const noexcept { return m_dueAt; }

    /**
     * Outcome for the operator, without the number of daemons that hold the write. Valid once the
     * write is no longer running.
     */
    [[nodiscard]] const change_outcome &outcome() const noexcept { return m_outcome; }

    /** Revision of the written document, and 0 for the other document. Valid once committed. */
    [[nodiscard]] const document_revisions &writtenRevisions() const noexcept
    {
        return m_writtenRevisions;
    }

protected:
    void fail(change_error error, std::string detail);
    void markCommitted(const document_revisions &written, wire::change_result result);

private:
    /** Processes a response without an error. */
    virtual void onResponse(const wire::etcd::txn_response &response, wall_time wallNow) = 0;

    void onError(store_error error, time_point now);

    replica_options m_options;
    time_point m_deadline;
    time_point m_dueAt;
    /** True if a transaction was sent and it is not known whether it took effect. */
    bool m_outcomeUnknown{false};
    stage m_stage{stage::running};
    change_outcome m_outcome{};
    document_revisions m_writtenRevisions{};
};

} // namespace azurelb
