#include <azurelb/core/split_list.hpp>

#include <sstream>

namespace azurelb {

std::vector<std::string> splitList(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

} // namespace azurelb
