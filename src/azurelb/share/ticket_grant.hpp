#pragma once

#include <azurelb/share/slot_grant.hpp>

namespace azurelb {

/** Outcome of a waiting request. */
struct ticket_grant
{
    ticket_id ticket{};
    slot_grant grant{};
};

} // namespace azurelb
