#include <azurelb/core/split_list.hpp>
#include <azurelb/settings/environment_flags.hpp>
#include <azurelb_cli/command.hpp>
#include <azurelb_cli/command_error.hpp>
#include <azurelb_cli/daemon_client.hpp>
#include <azurelb_cli/flags.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using namespace azurelb;
using namespace azurelb::cli;

// Secrets are read from the environment only, so that no process list shows them.
std::string tokenFor(const command &selected)
{
    const char *variable = selected.words == "submit" ? "AZURELB_KEY" : "AZURELB_TOKEN";
    const char *value = std::getenv(variable);
    return value ? value : "";
}

void checkEnvironment()
{
    for (const settings_error &fault : setFlagsFromEnvironment("azurelb_cli/flags.cpp"))
        throw command_error{exit_code::usage,
                            fault.setting + " is '" + fault.value + "'; allowed: " + fault.allowed};
}

void runCommand(const command_words &words)
{
    checkEnvironment();
    const command &selected = findCommand(words);
    const daemon_client client{splitList(FLAGS_server), tokenFor(selected),
                               std::chrono::milliseconds{FLAGS_timeout_ms}};
    const auto firstArgument = static_cast<std::ptrdiff_t>(words.size() - selected.argumentCount);
    selected.run(client, {words.begin() + firstArgument, words.end()});
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usageText());
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        runCommand({argv + 1, argv + argc});
    } catch (const command_error &failure) {
        std::cerr << "azurelb: " << failure.what() << '\n';
        return static_cast<int>(failure.code());
    } catch (const std::exception &failure) {
        std::cerr << "azurelb: " << failure.what() << '\n';
        return static_cast<int>(exit_code::refused);
    }
    return static_cast<int>(exit_code::done);
}
