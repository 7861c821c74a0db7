#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

#include <azurelb/wire/limits.pb.h>

namespace azurelb {

/** A message of the rights protocol on its way to one peer. */
struct outgoing_rights_message
{
    member to{};
    wire::rights_message message{};
};

} // namespace azurelb
