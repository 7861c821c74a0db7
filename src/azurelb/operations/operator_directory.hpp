#pragma once

#include <azurelb/operations/fwd.hpp>
#include <azurelb/settings/operator_setting.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace azurelb {

/** Authenticates operators by their tokens. */
class operator_directory
{
public:
    explicit operator_directory(const std::vector<operator_setting> &operators);

    /**
     * Name of the operator with this token; empty if there is none. The time that the search takes
     * does not depend on the tokens, so that it reveals nothing about them.
     */
    [[nodiscard]] std::string_view find(std::string_view token) const;

private:
    struct operator_entry
    {
        std::string name;
        /** SHA-256 of the token. */
        std::string digest;
    };

    std::vector<operator_entry> m_operators{};
};

} // namespace azurelb
