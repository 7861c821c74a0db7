#include <azurelb/log/log.hpp>
#include <azurelb/settings/read_settings.hpp>
#include <azurelbd/daemon_process.hpp>

#include <iostream>

namespace {

using namespace azurelb;

constexpr int exitFailed = 1;
constexpr int exitInvalidSettings = 2;

void print(const std::vector<settings_error> &faults)
{
    for (const settings_error &each : faults)
        std::cerr << "azurelbd: " << each.setting << " is '" << each.value
                  << "'; allowed: " << each.allowed << '\n';
}

int runDaemon(const settings &options)
{
    openLog({options.minSeverity, options.vm.value()});
    try {
        daemon_process process{options};
        process.run();
    } catch (const std::exception &failure) {
        logEvent(event::daemon_failed, {{"reason", failure.what()}});
        return exitFailed;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto read = readSettings(argc, argv);
    if (const auto *faults = std::get_if<std::vector<settings_error>>(&read)) {
        print(*faults);
        return exitInvalidSettings;
    }
    return runDaemon(std::get<settings>(read));
}
