#include <azurelb/capacity/wave_planner.hpp>

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <unordered_map>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

const vm_view *findVm(const std::vector<vm_view> &vms, const std::string &name)
{
    const auto found = std::find_if(vms.begin(), vms.end(),
                                    [&name](const vm_view &each) { return each.vm == name; });
    return found == vms.end() ? nullptr : &*found;
}

/** Whether the VMs that are left need all places from now on to be done by the deadline. */
bool isPressing(const wave_entry &wave, std::size_t left, boot_time now,
                const wave_options &options)
{
    const std::size_t places = std::max<std::size_t>(wave.maxParallel, 1);
    const auto rounds = static_cast<milliseconds::rep>((left + places - 1) / places);
    const milliseconds needed =
        rounds * (options.maintenanceTime + options.drainTime) + options.reserve;
    return now + needed >= wave.deadline;
}

/** VMs with long-running tasks only that must be reserved side by side to be done in time. */
std::size_t reservationsAtOnce(const wave_entry &wave, std::size_t busy, boot_time now,
                               const wave_options &options)
{
    const milliseconds left = wave.deadline - options.reserve - now;
    if (left <= options.vacateTime)
        return busy;
    return 1
        + busy * static_cast<std::size_t>(options.vacateTime.count())
        / static_cast<std::size_t>(left.count());
}

/** Interruptions of long-running tasks that a wave still has to make. */
class interruption_plan
{
public:
    explicit interruption_plan(const std::vector<const vm_view *> &due)
    {
        for (const vm_view *const vm : due) {
            for (const held_step &each : vm->steps) {
                step_load &load = m_steps[each.step];
                load.mostUnavailable = std::max<std::size_t>(each.mostUnavailable, 1);
                ++load.vms;
                load.reserved += vm->reserved ? 1 : 0;
            }
        }
    }

    /** Interruptions that follow one another in the step of the VM that has most of them. */
    [[nodiscard]] std::size_t rounds(const vm_view &vm) const
    {
        std::size_t most = 0;
        for (const held_step &each : vm.steps) {
            const step_load &load = m_steps.at(each.step);
            most = std::max(most, (load.vms + load.mostUnavailable - 1) / load.mostUnavailable);
        }
        return most;
    }

    /** Whether every step of the VM can leave it soon: one more VM waits its turn. */
    [[nodiscard]] bool admits(const vm_view &vm) const
    {
        return std::all_of(vm.steps.begin(), vm.steps.end(), [this](const held_step &each) {
            const step_load &load = m_steps.at(each.step);
            return load.reserved <= load.mostUnavailable;
        });
    }

    void reserve(const vm_view &vm)
    {
        for (const held_step &each : vm.steps)
            ++m_steps.at(each.step).reserved;
    }

private:
    struct step_load
    {
        std::size_t mostUnavailable{1};
        std::size_t vms{0};
        std::size_t reserved{0};
    };

    std::unordered_map<task_id, step_load> m_steps{};
};

/** VMs of a wave that still need their maintenance and could begin it. */
struct due_vms
{
    std::vector<const vm_view *> empty{};
    /** With runs, those that are reserved included. */
    std::vector<const vm_view *> busy{};
    /** All that are not finished. */
    std::size_t left{0};
};

due_vms findDue(const wave_entry &wave, const wave_progress &progress,
                const std::vector<vm_view> &vms)
{
    due_vms due;
    for (const std::string &name : wave.vms) {
        const vm_view *const vm = findVm(vms, name);
        // A VM that has left the list needs no maintenance.
        if (!vm || progress.finished.contains(name))
            continue;
        ++due.left;
        if (progress.inMaintenance.contains(name) || !vm->up || vm->ordered)
            continue;
        (vm->isEmpty() ? due.empty : due.busy).push_back(vm);
    }
    return due;
}

/** Order in which busy VMs are reserved. */
void sortBusy(std::vector<const vm_view *> &busy, const interruption_plan &interruptions)
{
    const auto rank = [&interruptions](const vm_view &vm) {
        return std::tuple{-static_cast<std::ptrdiff_t>(interruptions.rounds(vm)), vm.shortRuns,
                          vm.longRuns};
    };
    std::sort(busy.begin(), busy.end(), [&rank](const vm_view *left, const vm_view *right) {
        return rank(*left) < rank(*right);
    });
}

} // namespace

wave_step planWave(const wave_entry &wave, const wave_progress &progress,
                   const std::vector<vm_view> &vms, boot_time now, const wave_options &options)
{
    due_vms due = findDue(wave, progress, vms);
    wave_step step;
    step.completed = due.left == 0;
    const std::size_t places = std::max<std::size_t>(wave.maxParallel, 1);
    interruption_plan interruptions{due.busy};
    sortBusy(due.busy, interruptions);
    std::size_t used = progress.inMaintenance.size()
        + static_cast<std::size_t>(std::count_if(due.busy.begin(), due.busy.end(),
                                                 [](const vm_view *vm) { return vm->reserved; }));
    const auto reserve = [&](const vm_view &vm) {
        step.reserve.push_back(vm.vm);
        interruptions.reserve(vm);
        ++used;
    };
    const milliseconds left = wave.deadline - options.reserve - now;
    const auto isLong = [&](const vm_view &vm) {
        return 2 * options.interruptionTime
            * static_cast<milliseconds::rep>(interruptions.rounds(vm))
            >= left;
    };
    // Chains of interruptions that take over half of the time left begin before all else.
    std::vector<const vm_view *> others;
    for (const vm_view *const each : due.busy) {
        if (each->reserved)
            continue;
        if (each->steps.empty() || !isLong(*each))
            others.push_back(each);
        else if (used < places && interruptions.admits(*each))
            reserve(*each);
    }
    for (const vm_view *const each : due.empty) {
        if (used >= places)
            return step;
        step.begin.push_back(each->vm);
        ++used;
    }
    const bool pressing = isPressing(wave, due.left, now, options);
    const std::size_t most =
        progress.inMaintenance.size() + reservationsAtOnce(wave, due.busy.size(), now, options);
    for (const vm_view *const each : others) {
        const bool mayWait = each->shortRuns > 0 || used >= most || !interruptions.admits(*each);
        if (used >= places)
            break;
        if (pressing || !mayWait)
            reserve(*each);
    }
    return step;
}

} // namespace azurelb
