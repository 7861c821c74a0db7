#pragma once

#include <azurelb/log/fwd.hpp>

#include <concepts>
#include <string>
#include <string_view>

namespace azurelb {

/** A named value of a log line. API keys and request bodies must not be logged. */
struct field
{
    field(std::string_view fieldName, std::string_view text)
        : name{fieldName}
        , value{text}
    { }

    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number> field(std::string_view fieldName,
                                                                        Number number)
        : name{fieldName}
        , value{std::to_string(number)}
    { }

    std::string_view name;
    std::string value;
};

} // namespace azurelb
