#pragma once

#include <azurelb/membership/heartbeat_options.hpp>
#include <azurelb/membership/member.hpp>
#include <azurelb/wire/replica.pb.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace azurelb {

/**
 * Heartbeat failure detector. A member is fresh while its newest heartbeat echoes one of this
 * daemon's heartbeats that was sent a short time ago, which proves that both directions of the
 * connection work. Two processes on VMs of the same name are two members. Performs no I/O and reads
 * no clock; callers pass the time.
 */
class failure_detector
{
    struct member_state
    {
        std::uint64_t lastSequence{};
        time_point heardAt{};
        std::optional<time_point> echoedSentAt{};
        bool leaving{false};
    };

    struct peer_state
    {
        time_point lastDialledAt{};
    };

public:
    failure_detector(member self, const heartbeat_options &options);

    [[nodiscard]] const member &self() const noexcept { return m_self; }

    /** Sets the VMs to which heartbeats are sent. This daemon's own VM is ignored. */
    void setPeers(const std::vector<vm_id> &vms, time_point now);

    /** VMs to which heartbeats are sent: the peers, and others that sent one a short time ago. */
    [[nodiscard]] std::vector<vm_id> destinations(time_point now) const;

    /** Begins a round of heartbeats; composeHeartbeat() writes those of the last round begun. */
    void beginRound(time_point now);

    /** The heartbeat to one VM. Precondition: a round has begun. */
    [[nodiscard]] wire::heartbeat composeHeartbeat(const vm_id &to) const;

    /**
     * Processes a heartbeat. Returns the local send time of the heartbeat that it echoes, or
     * nothing if it echoes none, is a duplicate or out of order, or comes from a member that
     * leaves.
     */
    std::optional<time_point> receiveHeartbeat(const member &from, const wire::heartbeat &heartbeat,
                                               time_point now);

    /** From now on heartbeats announce that this daemon shuts down. */
    void leave() noexcept { m_leaving = true; }

    /**
     * Members that echo heartbeats and do not shut down, and this one unless it shuts down, sorted.
     */
    [[nodiscard]] std::vector<member> freshMembers(time_point now) const;

    /** True if the member announced that it shuts down. */
    [[nodiscard]] bool isLeaving(const member &id) const noexcept;

    /**
     * Peers whose connections are to be re-established; each is returned at most once per
     * redialAfter.
     */
    [[nodiscard]] std::vector<vm_id> takeUnresponsivePeers(time_point now);

    /**
     * Number of VM names that are peers or sent a heartbeat within forgetAfter and did not leave,
     * this one included.
     */
    [[nodiscard]] std::size_t countKnownVms(time_point now) const;

private:
    [[nodiscard]] bool isFresh(const member_state &each, time_point now) const noexcept;
    [[nodiscard]] std::optional<time_point> sendTimeOfRound(std::uint64_t sequence) const noexcept;
    [[nodiscard]] std::optional<time_point> echoedSendTime(const wire::heartbeat &heartbeat) const;
    [[nodiscard]] bool isVmFresh(const vm_id &vm, time_point now) const;
    void removeOldMembers(time_point now);

    member m_self;
    heartbeat_options m_options;
    bool m_leaving{false};
    std::map<vm_id, peer_state> m_peers{};
    std::map<member, member_state> m_members{};
    /** Send times of the newest rounds; the last one is that of m_sequence. */
    std::deque<time_point> m_roundsSentAt{};
    std::uint64_t m_sequence{0};
};

} // namespace azurelb
