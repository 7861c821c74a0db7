#pragma once

#include <string>

namespace azurelb {

/** An operator and the secret that proves who it is. */
struct operator_setting
{
    std::string name{};
    std::string token{};
};

} // namespace azurelb
