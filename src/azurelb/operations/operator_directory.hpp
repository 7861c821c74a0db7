#pragma once

#include <azurelb/operations/fwd.hpp>
#include <azurelb/settings/operator_setting.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace azurelb {

/** Tells operators by their tokens. */
class operator_directory
{
public:
    explicit operator_directory(const std::vector<operator_setting> &operators);

    /**
     * Name of the operator that the token belongs to, empty if none. The time taken tells nothing
     * of the tokens.
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
