#pragma once

#include <azurelb/core/fwd.hpp>

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace azurelb {

/**
 * A string identifier typed by its kind. Identifiers of different kinds neither convert nor
 * compare.
 */
template <typename Tag>
class identifier
{
public:
    using value_type = std::string;

    identifier() = default;

    explicit identifier(std::string value)
        : m_value{std::move(value)}
    { }

    [[nodiscard]] const std::string &value() const noexcept { return m_value; }

    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    [[nodiscard]] friend bool operator==(const identifier &, const identifier &) = default;

    [[nodiscard]] friend auto operator<=>(const identifier &, const identifier &) = default;

    friend std::ostream &operator<<(std::ostream &out, const identifier &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

} // namespace azurelb

template <typename Tag>
struct std::hash<azurelb::identifier<Tag>>
{
    [[nodiscard]] std::size_t operator()(const azurelb::identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string_view>{}(id.value());
    }
};
