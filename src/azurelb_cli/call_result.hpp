#pragma once

#include <string>

namespace azurelb::cli {

/** HTTP response of a daemon. */
struct call_result
{
    unsigned status{0};
    std::string body{};
    std::string contentType{};
};

} // namespace azurelb::cli
