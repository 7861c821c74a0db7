#pragma once

#include <azurelb/fleet/plan_input.hpp>
#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/fleet.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurelb::test {

using std::chrono::seconds;

/** Actual state of one VM of the fake platform. */
struct simulated_vm
{
    wire::listed_vm listed{};
    bool isDead{false};
    /** End of the current reboot. */
    time_point bootingUntil{};
    /** Time at which it went down; meaningful only while it is down. */
    time_point downSince{};
    /** Time up to which new work may reach it. The work runs for longestRequest after that. */
    time_point workUntil{};
    seconds longestRequest{};
    bool isRebootFailing{false};
    bool isRebootIgnored{false};
};

/**
 * Simulates the platform, the store and the daemons' requests in virtual time: a lagging VM list,
 * VMs that fail and reboot, and documents that are replaced by compare-and-swap. Tests inject
 * faults.
 */
class fake_fleet
{
public:
    explicit fake_fleet(seconds bootTime = seconds{30});

    void addVm(const std::string &id, const std::string &zone, const std::string &rack);
    wire::pool &addPool(const std::string &name, std::uint32_t minimum, std::uint32_t maximum,
                        std::uint32_t unavailable, bool isSpare = false);

    [[nodiscard]] bool isUp(const std::string &vm) const;
    [[nodiscard]] bool isZoneOut(const std::string &zone) const;
    [[nodiscard]] bool isRunning(const simulated_vm &vm, time_point at) const;

    void kill(const std::string &vm);
    void revive(const std::string &vm);
    /** Removes the VM from the platform and from its list. */
    void remove(const std::string &vm);
    /** Executes an order to reboot. */
    void reboot(const std::string &vm);
    void setZone(const std::string &zone, bool isOut);

    /** Returns the list as of lag before now. */
    [[nodiscard]] vm_list_ptr list(seconds lag) const;
    /** Returns the daemons' reports as of lag before now. */
    [[nodiscard]] std::vector<vm_observation> observe(seconds lag) const;

    /** Replaces the fleet document if both revisions are the expected ones. */
    bool commit(const wire::fleet_document &document, std::int64_t expectedFleetRevision,
                std::int64_t expectedConfigRevision);

    void bumpConfigRevision();

    void advance(seconds time);

    time_point now{seconds{100000}};
    wire::config_document config{};
    std::int64_t configRevision{1};
    wire::fleet_document fleet{};
    std::int64_t fleetRevision{1};
    std::map<std::string, simulated_vm> vms{};
    std::map<std::string, time_point> removedAt{};
    /** Revision checks of commit(); a test may turn them off. */
    bool checksFleetRevision{true};
    bool checksConfigRevision{true};

private:
    struct snapshot
    {
        time_point at{};
        vm_list_ptr list{};
    };

    void refresh();
    void assignWork();

    seconds m_bootTime;
    std::uint32_t m_boots{0};
    std::deque<snapshot> m_lists{};
};

/** Returns the wall-clock time that corresponds to the virtual time. */
[[nodiscard]] wall_time wallAt(time_point at);

[[nodiscard]] const wire::fleet_vm *findVm(const wire::fleet_document &fleet,
                                           const std::string &vm);

} // namespace azurelb::test
