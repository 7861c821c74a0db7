#include "soak_scenario.hpp"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of consecutive seeds to run");
DEFINE_double(fault_s, 10, "seconds during which faults are injected, before the recovery phase");
DEFINE_uint32(daemons, 4, "number of azurelb_platformd processes");
DEFINE_uint32(executors, 8, "number of simulated executors");
DEFINE_string(only, "", "names of the only faults to inject, separated by commas; empty for all");
DEFINE_bool(odd_entries, true,
            "whether the store holds entries that name no executor and no daemon; earlier landings "
            "do not start with them");
DEFINE_string(log, "", "file that receives the daemons' output if a seed fails");

/** Runs the fault soak for each seed; exit code 1 if any run violated a guarantee. */
int main(int argc, char **argv)
{
    gflags::SetUsageMessage(
        "fault-injection soak test of azurelb_platformd; AZURELB_BUILD is the build folder");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    (void)std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::set<std::string> only;
    std::istringstream names{FLAGS_only};
    for (std::string name; std::getline(names, name, ',');) {
        if (!azurelb::soak::soak_scenario::isFault(name)) {
            std::fprintf(stderr, "no such fault: %s\n", name.c_str());
            return 2;
        }
        only.insert(name);
    }
    unsigned failed = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        azurelb::soak::soak_options options;
        options.seed = static_cast<unsigned>(seed);
        options.daemons = FLAGS_daemons;
        options.executors = FLAGS_executors;
        options.oddEntries = FLAGS_odd_entries;
        options.onlyFaults = only;
        options.faultTime =
            std::chrono::milliseconds{static_cast<std::int64_t>(FLAGS_fault_s * 1000)};
        azurelb::soak::soak_scenario scenario{options};
        scenario.run();
        const auto &audit = scenario.audit();
        std::printf("seed %llu: %zu jobs, %zu starts, %zu faults:%s; %zu starts after done, "
                    "%zu beside another run; %zu counts checked of up to %zu waiting jobs; %zu "
                    "jobs said not to exist: "
                    "%s\n",
                    static_cast<unsigned long long>(seed), audit.jobCount(), audit.startCount(),
                    scenario.faultCount(), scenario.faults().c_str(), audit.startsAfterDone(),
                    audit.concurrentStarts(), audit.waitingAnswers(), audit.mostWaiting(),
                    audit.unknownJobCount(), audit.violations().empty() ? "ok" : "FAILED");
        for (const std::string &each : audit.violations())
            std::printf("  %s\n", each.c_str());
        if (audit.violations().empty())
            continue;
        ++failed;
        if (!FLAGS_log.empty())
            std::ofstream{FLAGS_log} << scenario.logs();
    }
    std::printf("%u passed, %u failed\n", FLAGS_seeds - failed, failed);
    return failed == 0 ? 0 : 1;
}
