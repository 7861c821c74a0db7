#pragma once

#include <azurelb/limits/membership_proof.hpp>
#include <azurelb/limits/outgoing_rights_message.hpp>
#include <azurelb/limits/rights_account.hpp>
#include <azurelb/limits/rights_balancer.hpp>
#include <azurelb/limits/rights_limits.hpp>
#include <azurelb/limits/rights_options.hpp>
#include <azurelb/limits/rights_peers.hpp>
#include <azurelb/limits/rights_status.hpp>
#include <azurelb/limits/team_demand.hpp>

#include <azurelb/wire/limits.pb.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azurelb {

/**
 * State machine of one daemon in the rights protocol: uses its rights, requests and gives rights,
 * and, as coordinator, computes the next rights document. It does no I/O and reads no clock: time
 * is a parameter, and the caller sends the returned messages and commits the returned document.
 */
class rights_protocol
{
public:
    rights_protocol(member self, const rights_options &options, const departure_source &departures);

    rights_protocol(const rights_protocol &) = delete;
    rights_protocol &operator=(const rights_protocol &) = delete;

    /** Acquires one right. Returns false if none is free or this daemon must not start work. */
    [[nodiscard]] bool acquire(const team_name &team, time_point now);

    /** Releases one right acquired with acquire(). */
    void release(const team_name &team, time_point now);

    /** Sets the number of requests that wait for a right. */
    void setDemand(const team_name &team, right_count waiting, time_point now);

    /** Sets the daemons with a recent heartbeat. */
    void setFresh(const std::vector<member> &fresh);

    /** Sets the upper limits. An older configuration revision is ignored. */
    void setLimits(rights_limits limits);

    /** Sets whether the daemon's documents are confirmed as recent enough to start work. */
    void setConfirmed(bool confirmed);

    /** Stops acquiring rights and gives all rights to a peer as they become free; for shutdown. */
    void handOver() noexcept { m_leaving = true; }

    void receive(const member &from, const wire::rights_message &message, time_point now);

    /** Returns the messages due now. To be called every rights_options::tickInterval. */
    [[nodiscard]] std::vector<outgoing_rights_message> tick(time_point now);

    /** True if this daemon must read and write the rights document. */
    [[nodiscard]] bool isCoordinator() const;

    /** Adopts a newer rights document. */
    void adopt(const wire::rights_document &document, revision at);

    /**
     * Adopts the result of a store operation that was started at `begun`. If the document lists
     * this daemon, the membership proof is renewed from that time.
     */
    void adoptRead(const wire::rights_document &document, revision at, time_point begun);

    /**
     * Returns the document to commit if the store still has the revision documentRevision(), or
     * none if there is nothing to change. Rights that it burns are reserved until a newer document
     * is adopted.
     */
    [[nodiscard]] std::optional<wire::rights_document> proposeDocument(time_point now);

    [[nodiscard]] revision documentRevision() const noexcept
    {
        return m_account.documentRevision();
    }

    [[nodiscard]] const wire::rights_document &document() const noexcept { return m_document; }

    /** True if this incarnation was declared gone. The process must be restarted. */
    [[nodiscard]] bool isClosed() const noexcept { return m_account.isClosed(); }

    /** True if the daemon may use its rights now. */
    [[nodiscard]] bool isUsable(time_point now) const;

    /** Number of rights that could be acquired if isUsable(). */
    [[nodiscard]] right_count freeCount(const team_name &team) const;

    [[nodiscard]] rights_status status(const team_name &team) const;

    /** Gone holders whose rights are not reclaimed yet. */
    [[nodiscard]] std::vector<member> closingHolders() const;

    /** Holders whose statements are missing to reclaim the closing ones. */
    [[nodiscard]] std::vector<member> holdersWithoutStatement() const;

    /** Number of rights given to other daemons since the start. */
    [[nodiscard]] right_count moved() const noexcept { return m_moved; }

private:
    using outbox = std::map<member, wire::rights_message>;

    [[nodiscard]] right_count excess(const team_name &team) const;
    void handleReports(const member &from, const wire::rights_message &message, time_point now);
    void handleAddressed(const member &from, const wire::rights_message &message, time_point now);
    void executeOrder(const wire::rights_order &order, time_point now);
    void notifyClosingHolders();
    [[nodiscard]] wire::rights_message refusal(const member &peer) const;
    right_count give(const member &to, const team_name &team, right_count most);
    void givePending(const team_name &team, team_demand &demand);
    void handOverAll();
    [[nodiscard]] const member &balancerOf(const team_name &team);
    void advanceDemands(time_point now);
    void addReports(outbox &out, time_point now);
    void addReport(const team_name &team, team_demand &demand, outbox &out, time_point now);
    void addOrders(outbox &out, time_point now);
    void addPeerMessage(const member &peer, rights_peer &state, outbox &out, time_point now);
    [[nodiscard]] bool isHelloDue(const member &peer, const rights_peer &state,
                                  time_point now) const;
    void addHeader(const member &peer, rights_peer &state, wire::rights_message &message,
                   time_point now) const;
    void addStatements(wire::rights_message &message) const;

    rights_options m_options;
    rights_account m_account;
    rights_peers m_peers;
    rights_balancer m_balancer{};
    membership_proof m_proof;
    rights_limits m_limits{};
    wire::rights_document m_document{};
    team_counts m_minted{};
    /** Closing or reclaimed daemons to which a refusal() is due. */
    std::set<member> m_refused{};
    bool m_hasUnregistered{false};
    std::map<team_name, team_demand> m_demands{};
    std::map<team_name, member> m_balancers{};
    time_point m_updatedAt{};
    right_count m_moved{};
    bool m_confirmed{false};
    bool m_leaving{false};
};

} // namespace azurelb
