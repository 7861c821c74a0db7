#pragma once

#include <azurelb/limits/fwd.hpp>
#include <azurelb/membership/member.hpp>

namespace azurelb {

/** Number of rights to move from one holder to another. */
struct rights_transfer
{
    member from{};
    member to{};
    right_count count{};

    [[nodiscard]] friend bool operator==(const rights_transfer &,
                                         const rights_transfer &) = default;
};

} // namespace azurelb
