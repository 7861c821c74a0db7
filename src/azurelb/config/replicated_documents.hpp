#pragma once

#include <azurelb/config/audit_trail.hpp>
#include <azurelb/config/confirmation_tracker.hpp>
#include <azurelb/config/document_exchange.hpp>
#include <azurelb/config/document_source.hpp>
#include <azurelb/config/local_documents.hpp>
#include <azurelb/config/poll_schedule.hpp>
#include <azurelb/config/write_queue.hpp>
#include <azurelb/peer/fwd.hpp>

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace azurelb {

class heartbeat_membership;

namespace wire {
class replica_state;
} // namespace wire

namespace internal {
struct document_metrics;
} // namespace internal

/**
 * Replica of the documents, updated from the store and from peers. Two daemons poll the store; the
 * others learn of newer revisions from heartbeats and fetch the documents from peers.
 * confirmation_tracker decides whether the documents are confirmed to be recent, write_queue
 * commits changes.
 */
class replicated_documents final : public document_source, private write_environment
{
public:
    replicated_documents(boost::asio::io_context &context, const clock_source &clock,
                         const replica_options &options = {});
    ~replicated_documents() override;

    /** Requires the store, the peer transport, heartbeat_membership (started) and the metrics. */
    void start(kernel &services) override;
    void stop() noexcept override;

    [[nodiscard]] config_view_ptr config() const noexcept override;
    [[nodiscard]] fleet_view_ptr fleet() const noexcept override;
    [[nodiscard]] bool isConfirmed() const noexcept override;
    void subscribe(std::function<void()> changed) override;
    void submit(const wire::change &change, change_handler done) override;
    void replaceFleet(const wire::fleet_document &document, revision expected,
                      const std::vector<wire::audit_record> &records, fleet_handler done) override;
    void readAudit(std::size_t most, audit_handler done) override;

    /**
     * Performs the work that is due. Called by the timer, or directly by tests with virtual time.
     */
    void tick();

private:
    struct published_state
    {
        document_revisions held{};
        bool confirmed{false};

        [[nodiscard]] friend bool operator==(const published_state &,
                                             const published_state &) = default;
    };

    struct peer_state
    {
        bool storeUnreachable{false};
        time_point reportedAt{};
    };

    // write_environment
    [[nodiscard]] reply_time now() const noexcept override;
    void call(const store_write &write, store_handler done) override;
    void onCommitted(const store_write &write) override;
    [[nodiscard]] std::size_t countFreshMembers() const override;

    void schedule();
    [[nodiscard]] std::vector<poll_candidate> candidates() const;
    void readStore(time_point now);
    void onRead(const store_reply &reply, time_point sentAt, revision required);
    [[nodiscard]] bool applyRead(const store_reply &reply);
    void recordStoreRevision(const store_reply &reply);
    [[nodiscard]] bool isStale(const store_reply &reply, revision required) const;
    void trimAudit(const std::vector<poll_candidate> &fresh, time_point now);

    void writeReplicaState(wire::replica_state &state) const;
    void onReplicaState(const member &from, time_point writtenAfter,
                        const wire::replica_state &state);
    void removeInactivePeers(time_point now);

    void onDocumentsApplied();
    void publishState();
    void reportChange(const wire::change &change, const change_outcome &outcome);

    boost::asio::steady_timer m_timer;
    const clock_source &m_clock;
    replica_options m_options;
    store *m_store{nullptr};
    peer_transport *m_transport{nullptr};
    heartbeat_membership *m_membership{nullptr};
    std::unique_ptr<internal::document_metrics> m_metrics{};
    local_documents m_documents{};
    std::unique_ptr<confirmation_tracker> m_confirmation{};
    std::unique_ptr<document_exchange> m_exchange{};
    std::unique_ptr<poll_schedule> m_schedule{};
    std::unique_ptr<write_queue> m_writes{};
    std::unique_ptr<audit_trail> m_audit{};
    std::map<member, peer_state> m_peers{};
    std::vector<std::function<void()>> m_subscribers{};
    published_state m_published{};
    /** Highest store revision known to this daemon or reported by a peer. */
    revision m_storeRevision{};
    time_point m_nextTrimAt{};
    std::uint64_t m_writeCount{0};
    /** Handlers of pending calls hold weak pointers to it and do nothing once it is reset. */
    std::shared_ptr<int> m_alive{std::make_shared<int>()};
};

} // namespace azurelb
