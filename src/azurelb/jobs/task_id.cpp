#include <azurelb/jobs/task_id.hpp>

#include <charconv>

namespace azurelb {

namespace {

/** Removes the last dot and the number behind it, and returns the number. */
std::optional<std::uint32_t> takeLastNumber(std::string_view &text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(dot + 1);
    std::uint32_t number = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (read.ec != std::errc{} || read.ptr != digits.data() + digits.size())
        return std::nullopt;
    text.remove_suffix(text.size() - dot);
    return number;
}

} // namespace

std::string toString(const task_id &task)
{
    std::string text = task.job;
    for (const std::uint32_t part : {task.occurrence, task.step, task.index}) {
        text += '.';
        text += std::to_string(part);
    }
    return text;
}

std::optional<task_id> parseTaskId(std::string_view text)
{
    const auto index = takeLastNumber(text);
    const auto step = index ? takeLastNumber(text) : std::nullopt;
    const auto occurrence = step ? takeLastNumber(text) : std::nullopt;
    if (!occurrence || text.empty())
        return std::nullopt;
    return task_id{job_id{text}, *occurrence, *step, *index};
}

} // namespace azurelb
