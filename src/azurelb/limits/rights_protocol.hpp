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
 * One daemon's part in the rights protocol: uses its rights, asks for and gives rights, and, as
 * coordinator, plans the rights document. Pure: time comes in as a parameter, messages and
 * documents are returned to the caller, who sends and commits them.
 */
class rights_protocol
{
public:
    rights_protocol(member self, const rights_options &options, const departure_source &departures);

    rights_protocol(const rights_protocol &) = delete;
    rights_protocol &operator=(const rights_protocol &) = delete;

    /** Takes one right into use. False if none is free or this daemon must not start work. */
    [[nodiscard]] bool acquire(const team_name &team, time_point now);

    /** Ends the use of one right. */
    void release(const team_name &team, time_point now);

    /** Sets the number of requests that wait without a right. */
    void setDemand(const team_name &team, right_count waiting, time_point now);

    /** Sets the daemons with a recent heartbeat. */
    void setFresh(const std::vector<member> &fresh);

    /** Sets the upper limits; an older revision is passed over. */
    void setLimits(rights_limits limits);

    /** Sets whether the daemon's documents are proved recent enough to start work. */
    void setConfirmed(bool confirmed);

    /** Takes no more rights into use and gives all that get free away: the daemon shuts down. */
    void handOver() noexcept { m_leaving = true; }

    void receive(const member &from, const wire::rights_message &message, time_point now);

    /** The messages due now. Call every rights_options::tickInterval. */
    [[nodiscard]] std::vector<outgoing_rights_message> tick(time_point now);

    /** True if this daemon shall read and write the rights document. */
    [[nodiscard]] bool isCoordinator() const;

    /** Takes over a document that a peer sent or a write of this daemon made. */
    void adopt(const wire::rights_document &document, revision at);

    /** Takes over what a read of the store returned that was begun at that time. */
    void adoptRead(const wire::rights_document &document, revision at, time_point begun);

    /**
     * The document to commit if the store still has the revision documentRevision(). None if there
     * is nothing to change. Rights that it burns are kept back until a newer document is adopted.
     */
    [[nodiscard]] std::optional<wire::rights_document> proposeDocument(time_point now);

    [[nodiscard]] revision documentRevision() const noexcept
    {
        return m_account.documentRevision();
    }

    [[nodiscard]] const wire::rights_document &document() const noexcept { return m_document; }

    /** True if this incarnation was declared gone; the process must be replaced. */
    [[nodiscard]] bool isClosed() const noexcept { return m_account.isClosed(); }

    /** True if the daemon may use its rights now. */
    [[nodiscard]] bool isUsable(time_point now) const;

    /** Rights that could be taken into use if the daemon may start work. */
    [[nodiscard]] right_count freeCount(const team_name &team) const;

    [[nodiscard]] rights_status status(const team_name &team) const;

    /** Holders that are gone and whose rights are not reclaimed yet. */
    [[nodiscard]] std::vector<member> closingHolders() const;

    /** Holders without whose statement the closing ones cannot be reclaimed. */
    [[nodiscard]] std::vector<member> holdersWithoutStatement() const;

    /** Rights given to other daemons since the start. */
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
    /** Closing or reclaimed daemons that have sent something and are to be told. */
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
