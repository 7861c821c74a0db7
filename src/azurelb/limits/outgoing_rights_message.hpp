#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

#include <azurelb/wire/limits.pb.h>

namespace azurelb {

/** A message of the rights protocol and its receiver. */
struct outgoing_rights_message
{
    member to{};
    wire::rights_message message{};
};

} // namespace azurelb
