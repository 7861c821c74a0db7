#pragma once

#include <azurelb/core/clock_source.hpp>
#include <azurelb/membership/member.hpp>
#include <azurelb/share/rights_broker.hpp>
#include <azurelb/share/share_options.hpp>
#include <azurelb/share/slot_service.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace azurelb {

namespace wire {
class envelope;
class share_message;
} // namespace wire

class document_source;
class membership;
class metrics;
class peer_transport;
class upstream_directory;
struct pool_state;

/**
 * Obtains executor slots from the dispatcher of each pool and runs the dispatchers of the pools
 * that rendezvous hashing assigns to this daemon. The queues of a pool use the same slots and
 * therefore have one dispatcher.
 */
class dispatched_slot_service final : public slot_service
{
    void refreshPools();
    void refreshUpstreams();
    void refreshOwners();
    void refreshOwner(pool_state &pool, const std::vector<member> &fresh);
    [[nodiscard]] std::optional<member> ownerOf(const pool_name &pool,
                                                const std::vector<member> &fresh) const;
    [[nodiscard]] std::vector<team_share> shares() const;
    [[nodiscard]] pool_state *findPool(const queue_name &queue);
    pool_state &emplacePool(const pool_name &pool);
    void makeDispatcher(pool_state &pool, const std::vector<member> &fresh);
    void receive(const wire::envelope &message);
    void receive(pool_state &pool, const member &from, const wire::share_message &message);
    void scheduleFlush();
    void scheduleTick();
    void flush();
    void flushClient(pool_state &pool);
    void flushDispatcher(pool_state &pool);
    void deliver(const ticket_grant &granted);
    void send(const pool_state &pool, const slot_report &report);
    void send(const pool_state &pool, const addressed_assignment &made);
    void publish();
    [[nodiscard]] member self() const;

public:
    dispatched_slot_service(boost::asio::io_context &loop, const clock_source &clock,
                            const share_options &options = {});
    ~dispatched_slot_service() override;

    void start(kernel &services) override;
    void stop() noexcept override;

    ticket_id request(const slot_request &wanted, slot_handler done) override;
    void cancel(ticket_id ticket) override;
    void release(lease_id lease, attempt_outcome outcome) override;

    /**
     * Refuses new requests and hands its dispatchers over to other daemons; waiting and running
     * requests continue. Call it after the membership has announced that this daemon leaves.
     */
    void drain();

private:
    boost::asio::io_context &m_loop;
    const clock_source &m_clock;
    share_options m_options;
    boost::asio::steady_timer m_timer;
    peer_transport *m_transport{};
    membership *m_members{};
    upstream_directory *m_directory{};
    document_source *m_documents{};
    metrics *m_metrics{};
    std::unique_ptr<rights_broker> m_rights{};
    std::map<pool_name, std::unique_ptr<pool_state>> m_pools;
    std::unordered_map<queue_name, pool_state *> m_queues{};
    std::unordered_map<ticket_id, slot_handler> m_handlers{};
    std::unordered_map<ticket_id, pool_state *> m_tickets{};
    std::vector<ticket_id> m_unknownQueueTickets{};
    time_point m_publishedAt{};
    std::uint64_t m_nextTicket{1};
    bool m_isFlushScheduled{false};
    bool m_isFlushUrgent{false};
    bool m_isDraining{false};
    bool m_isStopped{true};
};

} // namespace azurelb
