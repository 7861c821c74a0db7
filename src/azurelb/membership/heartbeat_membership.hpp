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
 * Membership service based on heartbeats over the peer transport. Heartbeats also carry the state
 * of this daemon's documents, so that each peer gets only one periodic message.
 */
class heartbeat_membership final : public membership
{
public:
    heartbeat_membership(boost::asio::io_context &context, const clock_source &clock,
                         const heartbeat_options &options = {});
    ~heartbeat_membership() override;

    /** Requires the peer transport and the metrics. */
    void start(kernel &services) override;
    void stop() noexcept override;

    [[nodiscard]] std::vector<member> freshMembers() const override;
    void subscribe(std::function<void()> changed) override;

    /** Sets the VMs to which heartbeats are sent. Call after start(). */
    void setPeers(const std::vector<vm_id> &vms);

    /** Sets the handlers that write and receive the replica state in heartbeats. */
    void setReplicaStateHandlers(replica_state_writer writer, replica_state_handler reader);

    /** Sets the handler that reconnects to unresponsive peers. */
    void setRedialHandler(redial_handler redial);

    /** Sends a heartbeat to every peer immediately and restarts the period. */
    void sendHeartbeats();

    /** Sends a heartbeat to one peer immediately. */
    void sendHeartbeatTo(const vm_id &to);

    /**
     * Announces to the peers that this daemon shuts down; from then on it is not a fresh member.
     */
    void leave();

    /** True if the member announced that it shuts down. */
    [[nodiscard]] bool isLeaving(const member &id) const noexcept;

    /**
     * Number of VM names that are peers or sent a heartbeat in the last minutes and did not leave,
     * this one included.
     */
    [[nodiscard]] std::size_t countKnownVms() const;

    /**
     * Performs the work that is due. Called by the timer, or directly by tests with virtual time.
     */
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
