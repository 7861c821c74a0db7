#pragma once

#include <string>

namespace azurelb {

/** An operator's name and the secret token that authenticates it. */
struct operator_setting
{
    std::string name{};
    std::string token{};
};

} // namespace azurelb
