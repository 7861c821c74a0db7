#include "setup.hpp"

#include <signal.h>

#include <algorithm>
#include <cstdio>

namespace standin {

deployment::deployment(std::size_t executorCount, std::size_t daemonCount)
{
    const std::vector<std::string> zones{"milano", "bergamo"};
    std::vector<executor *> listed;
    for (std::size_t each = 0; each < executorCount; ++each) {
        const std::string number = std::to_string(each + 1);
        executors.push_back(std::make_unique<executor>(
            platform,
            executor::options{"i-000000000" + number, "m-000" + number, "lofts",
                              zones[each % zones.size()], 64000, 131072,
                              "r" + number + "-1"}));
        listed.push_back(executors.back().get());
    }
    const std::uint16_t machines = serveMachines(listed);
    for (std::size_t each = 0; each < daemonCount; ++each) {
        const std::string &zone = zones[each % zones.size()];
        daemons.push_back(std::make_unique<daemon_process>(
            "edge-" + zone + "-" + std::to_string(each + 1), zone, platform.port(), machines));
    }
    client.key = "sjnbanfqasnmgkcuyj8p";
    platform.put(
        "op/config",
        R"({"Version":7,"Routes":[{"Name":"r-1","Host":"seats.example","Prefix":"/plans/",)"
        R"("RouteType":"unsafe","TimeoutMs":3000,"TargetDurationMs":60000,"Priority":0,)"
        R"("Service":"lofts","Attempts":2,"Stretch":9.0,"Anonymous":false}],)"
        R"("Services":[{"Name":"lofts","HealthPath":"/health","MaxConns":64,"Protocol":"h1",)"
        R"("Tls":false,"ColdStartS":0.0,"ColdPerS":0.0,"RejectsOverload":false,"Standby":false}],)"
        R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,)"
        R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"choirs","ApiKeys":)"
        R"(["sjnbanfqasnmgkcuyj8p"],"Priority":1,"Weight":65,)"
        R"("MaxCount":{"Cpu":0,"MemMb":0,"Gpus":0}}]})");
}

bool deployment::start()
{
    for (const auto &each : executors)
        each->start();
    for (const auto &each : daemons)
        each->start();
    const auto isReady = [](const auto &each) {
        return each->isReady();
    };
    return waitFor(10'000, [&] {
        return std::all_of(daemons.begin(), daemons.end(), isReady) && orderingDaemon();
    });
}

daemon_process *deployment::orderingDaemon()
{
    const std::string claim = platform.get("azurelb/owner");
    for (const auto &each : daemons) {
        if (claim.starts_with(each->vm() + "/"))
            return each.get();
    }
    return nullptr;
}

daemon_process &deployment::other(const daemon_process *than)
{
    for (const auto &each : daemons) {
        if (each.get() != than)
            return *each;
    }
    return *daemons.front();
}

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", static_cast<unsigned>(number));
    return text;
}

void stopAll(deployment &from)
{
    for (const auto &each : from.daemons)
        each->signal(SIGTERM);
    for (const auto &each : from.daemons)
        each->join(7000);
}

} // namespace standin
