#pragma once

#include <azurelb/wire/config.pb.h>

#include <algorithm>
#include <string>

namespace azurelb::internal {

/** Key that identifies an entity within its list. */
[[nodiscard]] inline const std::string &keyOf(const wire::pool &each)
{
    return each.name();
}
[[nodiscard]] inline const std::string &keyOf(const wire::queue &each)
{
    return each.name();
}
[[nodiscard]] inline const std::string &keyOf(const wire::team &each)
{
    return each.name();
}
[[nodiscard]] inline const std::string &keyOf(const wire::team_key &each)
{
    return each.id();
}
[[nodiscard]] inline const std::string &keyOf(const wire::availability_zone &each)
{
    return each.name();
}
[[nodiscard]] inline const std::string &keyOf(const wire::wave &each)
{
    return each.id();
}
[[nodiscard]] inline const std::string &keyOf(const wire::move_order &each)
{
    return each.vm();
}

/** Returns an iterator to the entity with that key in a repeated field, end() if there is none. */
template <typename List>
[[nodiscard]] auto findEntity(List &list, const std::string &key)
{
    return std::find_if(list.begin(), list.end(),
                        [&key](const auto &each) { return keyOf(each) == key; });
}

template <typename List>
[[nodiscard]] bool contains(const List &list, const std::string &key)
{
    return findEntity(list, key) != list.end();
}

} // namespace azurelb::internal
