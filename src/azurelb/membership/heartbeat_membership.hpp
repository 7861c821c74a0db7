#pragma once

#include <azurelb/membership/failure_detector.hpp>
#include <azurelb/membership/membership.hpp>
#include <azurelb/peer/fwd.hpp>

#include <boost/asio/steady_timer.hpp>

namespace azurelb {

class peer_transport;
class metrics;

namespace internal {
struct membership_metrics;
} // namespace internal

/**
 * Membership by heartbeats over the peer transport. Each heartbeat also carries the state of this
 * daemon's documents, so that there is one periodic message to each peer.
 */
class heartbeat_membership final : public membership
{
public:
    heartbeat_membership(boost::asio::io_context &context, const clock_source &clock,
                         const heartbeat_options &options = {});
    ~heartbeat_membership() override;

    /** Needs the peer transport and the metrics. */
    void start(kernel &services) override;
    void stop() noexcept override;

    [[nodiscard]] std::vector<member> freshMembers() const override;
    void subscribe(std::function<void()> changed) override;

    /** Replaces the VMs that heartbeats go to. Call after start(). */
    void setPeers(const std::vector<vm_id> &vms);

    /** Sets who writes and who reads the documents' state in heartbeats. */
    void setReplicaStateHandlers(replica_state_writer writer, replica_state_handler reader);

    /** Sets who dials a silent peer anew. */
    void setRedialHandler(redial_handler redial);

    /** Sends a heartbeat to every peer at once, without waiting for the period. */
    void sendHeartbeats();

    /** Sends a heartbeat to one peer at once. */
    void sendHeartbeatTo(const vm_id &to);

    /** Tells the peers that this daemon shuts down; it is no longer fresh anywhere. */
    void leave();

    /** True if the member told that it shuts down. */
    [[nodiscard]] bool isLeaving(const member &id) const noexcept;

    /** VM names that are peers or were heard in the last minutes and did not leave, and this one.
     */
    [[nodiscard]] std::size_t countKnownVms() const;

    /** Sends what is due. The timer calls it; tests under virtual time call it in its place. */
    void tick();

private:
    void schedule();
    void send(const vm_id &to);
    void onEnvelope(const wire::envelope &envelope);
    void notifyIfChanged();
    void logChange(const std::vector<member> &before, const std::vector<member> &after) const;

    boost::asio::steady_timer m_timer;
    const clock_source &m_clock;
    heartbeat_options m_options;
    peer_transport *m_transport{nullptr};
    std::unique_ptr<failure_detector> m_detector{};
    std::unique_ptr<internal::membership_metrics> m_metrics{};
    std::vector<member> m_freshMembers{};
    std::vector<std::function<void()>> m_subscribers{};
    replica_state_writer m_stateWriter{};
    replica_state_handler m_stateHandler{};
    redial_handler m_redialHandler{};
    time_point m_nextHeartbeatAt{};
};

} // namespace azurelb
