#pragma once

#include <string>

namespace azurelb::cli {

/** A daemon's answer. */
struct call_result
{
    unsigned status{0};
    std::string body{};
    std::string contentType{};
};

} // namespace azurelb::cli
