#include "cases.hpp"

namespace review {

namespace {

/** A machine has its upkeep soon after the wave has been requested; the deadline is later. */
constexpr milliseconds deadline{25'000};
/** The project reads the list of machines every 1.5 s. */
constexpr milliseconds soon{400};
constexpr milliseconds later{4000};
constexpr int rounds{5};

} // namespace

/** The operator adds a machine and requests its upkeep shortly afterwards. */
asio::awaitable<verdict> waveOfNewMachine(world &in, bool trouble)
{
    in.configure({"lofts"});
    for (const char *const each : {"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"})
        in.addMachine(each, "lofts");
    for (const char *const each : {"edge-1", "edge-2", "edge-3"})
        in.startDaemon(each);
    if (!co_await in.waitUntilReady())
        co_return verdict::not_run;
    co_await sleepFor(milliseconds{8000});
    std::size_t wrong = 0;
    for (int round = 1; round <= rounds; ++round) {
        const std::string machine = "m-new-" + std::to_string(round);
        const std::string number = std::to_string(round);
        in.addMachine(machine, "lofts");
        co_await sleepFor(trouble ? soon : later);
        in.platformStore().put("op/wave/" + number,
                               json::object{{"Wave", round},
                                            {"Machines", json::array{machine}},
                                            {"DeadlineS", deadline.count() / 1000},
                                            {"MaxCount", 1}});
        in.record("operator: wave " + number + " requests the upkeep of " + machine);
        const milliseconds requested = in.now();
        bool reported = false;
        while (in.now() < requested + deadline && !reported) {
            co_await sleepFor(milliseconds{50});
            const std::string status = in.platformStore().value("status/wave/" + number);
            reported = status.find("completed") != std::string::npos;
        }
        if (!reported) {
            in.record("operator: wave " + number + " is not completed at its deadline");
            continue;
        }
        in.record("operator: wave " + number + " is shown as completed; " + machine
                  + (in.hadUpkeep(machine) ? " has had its upkeep" : " has not begun its upkeep"));
        wrong += in.hadUpkeep(machine) ? 0 : 1;
        // The machine stays, and its upkeep doesn't begin later either.
        co_await sleepFor(milliseconds{4000});
        in.record(machine
                  + (in.hadUpkeep(machine) ? " has begun its upkeep" : " stays without upkeep"));
    }
    co_return wrong == 0 ? verdict::held : verdict::broken;
}

} // namespace review
