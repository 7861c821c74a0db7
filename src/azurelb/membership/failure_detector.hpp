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
 * Decides which daemons are alive. A member is fresh while it answers: its newest heartbeat names
 * one of ours that was sent a short time ago, which proves both directions of the connection. Two
 * processes on VMs of one name are two members. It reads no clock and sends nothing.
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

    /** Replaces the VMs that heartbeats go to. The own VM may be among them. */
    void setPeers(const std::vector<vm_id> &vms, time_point now);

    /** VMs that heartbeats go to: the peers, and others that were heard a short time ago. */
    [[nodiscard]] std::vector<vm_id> destinations(time_point now) const;

    /** Begins a round of heartbeats; compose() writes those of the round begun last. */
    void beginRound(time_point now);

    /** The heartbeat to one VM. Precondition: a round has begun. */
    [[nodiscard]] wire::heartbeat composeHeartbeat(const vm_id &to) const;

    /**
     * Takes a heartbeat. Returns the local time at which the heartbeat that it answers was sent, or
     * nothing if it answers none, was repeated or comes from a member that leaves.
     */
    std::optional<time_point> receiveHeartbeat(const member &from, const wire::heartbeat &heartbeat,
                                               time_point now);

    /** From now on heartbeats tell that this daemon shuts down. */
    void leave() noexcept { m_leaving = true; }

    /** Members that answer and do not shut down, and this one unless it shuts down, sorted. */
    [[nodiscard]] std::vector<member> freshMembers(time_point now) const;

    /** True if the member told that it shuts down. */
    [[nodiscard]] bool isLeaving(const member &id) const noexcept;

    /** Peers whose connections are to be dialled anew; each again after redialAfter. */
    [[nodiscard]] std::vector<vm_id> takeUnresponsivePeers(time_point now);

    /**
     * Number of VM names that are peers or were heard within forgetAfter and did not leave, this
     * one included.
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
