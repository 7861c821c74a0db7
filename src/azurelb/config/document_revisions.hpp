#pragma once

#include <azurelb/config/fwd.hpp>

namespace azurelb {

/** Revisions of both documents that a daemon holds. */
struct document_revisions
{
    revision config{};
    revision fleet{};

    /** True if both revisions are at least those of the other. */
    [[nodiscard]] bool covers(const document_revisions &other) const noexcept
    {
        return config >= other.config && fleet >= other.fleet;
    }

    [[nodiscard]] friend bool operator==(const document_revisions &,
                                         const document_revisions &) = default;
};

} // namespace azurelb
