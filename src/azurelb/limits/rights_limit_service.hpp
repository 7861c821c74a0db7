#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/limits/departure_source.hpp>
#include <azurelb/limits/limit_metrics.hpp>
#include <azurelb/limits/limit_service.hpp>
#include <azurelb/limits/rights_protocol.hpp>
#include <azurelb/membership/fwd.hpp>
#include <azurelb/peer/fwd.hpp>
#include <azurelb/store/fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace azurelb {

/**
 * Limit service that runs a rights_protocol on the peer transport, store, membership and document
 * services. All calls and handlers run on the event loop. Only the coordinator of the fleet calls
 * the store: one read per second, and a write when the document changes.
 */
class rights_limit_service final : public limit_service
{
public:
    /** Store key of the rights document. */
    static constexpr std::string_view documentKey{"/azurelb/rights"};

    /** The references must outlive the service. */
    rights_limit_service(boost::asio::io_context &loop, const clock_source &clock,
                         const departure_source &departures, const rights_options &options = {});
    ~rights_limit_service() override;

    void start(kernel &services) override;
    void stop() noexcept override;

    [[nodiscard]] bool acquire(const team_name &team) override;
    void release(const team_name &team) override;
    void setDemand(const team_name &team, std::uint32_t waiting) override;
    void subscribe(handler available) override;

    /**
     * Acquires no more rights and gives free rights to other daemons, including those released
     * later. To be called when a graceful shutdown begins.
     */
    void handOver();

    /** True once this daemon was declared gone: it can no longer use or receive rights. */
    [[nodiscard]] bool isClosed() const noexcept;

    /** Returns the limit and rights of a team as this daemon knows them. */
    [[nodiscard]] rights_status status(const team_name &team) const;

private:
    void scheduleTick();
    void tick();
    void updateDocuments();
    void readDocument(time_point now);
    void handleReadReply(const store_reply &reply, time_point begun);
    void commitProposal();
    void handleCommitReply(const store_reply &reply, const wire::rights_document &next,
                           time_point begun);
    void setStoreWorks(bool works);
    void notify();
    void publish(time_point now);
    void publishTeam(const team_name &team);
    void warnOfBlockedReclaim(time_point now);

    boost::asio::io_context &m_loop;
    const clock_source &m_clock;
    const departure_source &m_departures;
    rights_options m_options;
    boost::asio::steady_timer m_timer;
    std::optional<rights_protocol> m_protocol{};
    std::optional<limit_metrics> m_metrics{};
    peer_transport *m_transport{};
    membership *m_membership{};
    store *m_store{};
    document_source *m_documents{};
    std::vector<handler> m_handlers{};
    std::set<team_name> m_waiting{};
    std::set<team_name> m_pending{};
    time_point m_readAt{};
    time_point m_publishedAt{};
    std::optional<time_point> m_closingSince{};
    revision m_configAt{};
    bool m_storeBusy{false};
    bool m_storeFailed{false};
    bool m_closedLogged{false};
    /** Callbacks hold a weak reference and do nothing after stop(). */
    std::shared_ptr<rights_limit_service *> m_alive;
};

} // namespace azurelb
