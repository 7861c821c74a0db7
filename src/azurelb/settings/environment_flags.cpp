#include <azurelb/settings/environment_flags.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace azurelb {

namespace {

std::string variableName(const std::string &flag)
{
    std::string variable{"AZURELB_" + flag};
    std::transform(variable.begin(), variable.end(), variable.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
    return variable;
}

} // namespace

std::vector<settings_error> setFlagsFromEnvironment(std::string_view sourceFile)
{
    std::vector<settings_error> errors;
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto &flag : flags) {
        const std::string variable = variableName(flag.name);
        const char *value = std::getenv(variable.c_str());
        if (!value || !flag.is_default || !flag.filename.ends_with(sourceFile))
            continue;
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty())
            errors.push_back({variable, value, "a value of type " + flag.type});
    }
    return errors;
}

} // namespace azurelb
