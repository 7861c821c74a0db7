#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

#include <azurelb/wire/limits.pb.h>

namespace azurelb::internal {

[[nodiscard]] inline member fromWire(const wire::rights_member &message)
{
    return member{vm_id{message.vm()}, incarnation{message.incarnation()}};
}

inline void toWire(const member &from, wire::rights_member &message)
{
    message.set_vm(from.vm.value());
    message.set_incarnation(static_cast<std::uint64_t>(from.id));
}

using wire_counts = google::protobuf::RepeatedPtrField<wire::team_count>;

[[nodiscard]] inline team_counts fromWire(const wire_counts &message)
{
    team_counts counts;
    for (const wire::team_count &each : message)
        counts[team_name{each.team()}] = each.count();
    return counts;
}

/** Replaces the counts in the message. Teams with a count of 0 are left out. */
inline void toWire(const team_counts &counts, wire_counts &message)
{
    message.Clear();
    for (const auto &[team, count] : counts) {
        if (count == 0)
            continue;
        wire::team_count &added = *message.Add();
        added.set_team(team.value());
        added.set_count(count);
    }
}

/** Returns the row of a daemon, or null if the document does not list it. */
[[nodiscard]] inline const wire::rights_holder *findHolder(const wire::rights_document &document,
                                                           const member &wanted)
{
    for (const wire::rights_holder &holder : document.holders()) {
        if (fromWire(holder.member()) == wanted)
            return &holder;
    }
    return nullptr;
}

/** Returns the rights that exist in the fleet, by team. */
[[nodiscard]] inline team_counts mintedOf(const wire::rights_document &document)
{
    team_counts sum;
    for (const wire::rights_holder &holder : document.holders()) {
        for (const wire::team_count &each : holder.minted())
            sum[team_name{each.team()}] += each.count();
    }
    return sum;
}

} // namespace azurelb::internal
