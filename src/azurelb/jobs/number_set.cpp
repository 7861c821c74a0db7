#include <azurelb/jobs/number_set.hpp>

#include <algorithm>

namespace azurelb {

number_set::number_set(std::initializer_list<std::uint32_t> numbers)
{
    for (const std::uint32_t each : numbers)
        insert(each);
}

std::vector<number_set::range>::const_iterator
number_set::findRange(std::uint32_t number) const noexcept
{
    return std::lower_bound(
        m_ranges.begin(), m_ranges.end(), number,
        [](const range &each, std::uint32_t wanted) { return each.last < wanted; });
}

void number_set::insert(std::uint32_t first, std::uint32_t last)
{
    if (last < first)
        return;
    // All ranges that overlap or touch the new one become one.
    auto merged = findRange(first == 0 ? 0 : first - 1);
    const auto begin = merged;
    range united{first, last};
    for (; merged != m_ranges.end() && (merged->first == 0 || merged->first - 1 <= last); ++merged)
    {
        united = {std::min(united.first, merged->first), std::max(united.last, merged->last)};
        m_size -= std::uint64_t{merged->last} - merged->first + 1;
    }
    m_size += std::uint64_t{united.last} - united.first + 1;
    m_ranges.insert(m_ranges.erase(begin, merged), united);
}

bool number_set::contains(std::uint32_t number) const noexcept
{
    const auto found = findRange(number);
    return found != m_ranges.end() && found->first <= number;
}

std::uint64_t number_set::firstAbsent(std::uint32_t from) const noexcept
{
    const auto found = findRange(from);
    const bool isPresent = found != m_ranges.end() && found->first <= from;
    return isPresent ? std::uint64_t{found->last} + 1 : from;
}

} // namespace azurelb
