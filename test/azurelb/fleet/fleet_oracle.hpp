#pragma once

#include "fake_fleet.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace azurelb::test {

/** Checks every commit and every reboot against simple rules that are independent of the planner.
 */
class fleet_oracle
{
public:
    explicit fleet_oracle(const fake_fleet &world)
        : m_world{world}
    { }

    /** Maximum lag of a list that a planner may still use. */
    seconds lag{18};

    /** Call after a commit; planned is the time of the plan. Returns the violation, or empty. */
    [[nodiscard]] std::string checkCommit(const wire::fleet_document &before, time_point planned);

    /** Call after a committed step, with the list that it used. */
    void recordList(const wire::vm_list &list);

    /** Call before the platform executes a reboot. Returns the violation, or empty. */
    [[nodiscard]] std::string checkReboot(const std::string &vm);

private:
    [[nodiscard]] bool isKnownDown(const std::string &vm, time_point planned) const;
    [[nodiscard]] bool isAvailable(const wire::fleet_vm &vm, time_point planned) const;
    [[nodiscard]] std::string checkVm(const wire::fleet_vm *before, const wire::fleet_vm &after);
    [[nodiscard]] std::string checkMove(const wire::fleet_vm &before, const wire::fleet_vm &after);
    [[nodiscard]] std::string checkBudgets(const wire::fleet_document &before,
                                           time_point planned) const;

    const fake_fleet &m_world;
    std::map<std::string, time_point> m_drains{};
    std::map<std::string, time_point> m_seenDown{};
    std::set<std::pair<std::string, std::string>> m_reboots{};
};

} // namespace azurelb::test
