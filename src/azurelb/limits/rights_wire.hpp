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

/** Replaces the message's counts. Teams with none are left out. */
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

/** The row of one daemon; null if the document does not list it. */
[[nodiscard]] inline const wire::rights_holder *findHolder(const wire::rights_document &document,
                                                           const member &wanted)
{
    for (const wire::rights_holder &holder : document.holders()) {
        if (fromWire(holder.member()) == wanted)
            return &holder;
    }
    return nullptr;
}

/** Rights that exist over the fleet. */
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
