#include <azurelb_bench/flags.hpp>
#include <azurelb_bench/run_report.hpp>
#include <azurelb_bench/scenarios.hpp>

#include <gflags/gflags.h>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace azurelb::bench;
    gflags::SetUsageMessage("generates load for running daemons and prints the measurements");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr int exitInvalidUsage = 2;
    try {
        if (FLAGS_scenario == "seed") {
            seedFleet();
            return 0;
        }
        const run_report report = runScenario();
        std::cout << (FLAGS_json ? toJson(report) + '\n' : toTable(report));
    } catch (const std::exception &failure) {
        std::cerr << "azurelb_bench: " << failure.what() << '\n';
        return exitInvalidUsage;
    }
    return 0;
}
