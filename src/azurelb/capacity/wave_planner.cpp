#include <azurelb/capacity/wave_planner.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Returns whether the unfinished VMs need the full parallelism of the wave from now on. */
bool isDeadlineTight(const wave_entry &wave, std::size_t unfinishedVms, boot_time now,
                     const wave_options &options)
{
    const std::size_t parallelLimit = std::max<std::size_t>(wave.maxParallel, 1);
    const auto rounds =
        static_cast<milliseconds::rep>((unfinishedVms + parallelLimit - 1) / parallelLimit);
    const milliseconds needed =
        rounds * (options.maintenanceTime + options.drainTime) + options.deadlineMargin;
    return now + needed >= wave.deadline;
}

/** Returns the number of VMs with only long-running tasks to reserve at once to finish in time. */
std::size_t requiredReservations(const wave_entry &wave, std::size_t busy, boot_time now,
                                 const wave_options &options)
{
    const milliseconds timeLeft = wave.deadline - options.deadlineMargin - now;
    if (timeLeft <= options.vacateTime)
        return busy;
    return 1
        + busy * static_cast<std::size_t>(options.vacateTime.count())
        / static_cast<std::size_t>(timeLeft.count());
}

/** Interruptions of long-running tasks that a wave still requires. */
class interruption_plan
{
public:
    explicit interruption_plan(const std::vector<const vm_view *> &pending)
    {
        for (const vm_view *const vm : pending) {
            for (const long_running_step &each : vm->steps) {
                step_load &load = m_steps[each.step];
                load.maxUnavailable = std::max<std::size_t>(each.maxUnavailable, 1);
                ++load.vms;
                load.reserved += vm->reserved ? 1 : 0;
            }
        }
    }

    /** Returns the most sequential interruptions that any step of the VM requires. */
    [[nodiscard]] std::size_t sequentialInterruptions(const vm_view &vm) const
    {
        std::size_t most = 0;
        for (const long_running_step &each : vm.steps) {
            const step_load &load = m_steps.at(each.step);
            most = std::max(most, (load.vms + load.maxUnavailable - 1) / load.maxUnavailable);
        }
        return most;
    }

    /** Returns whether no step of the VM has more reserved VMs than its limit of unavailable tasks.
        One VM beyond the limit may thus wait, reserved, for its interruption. */
    [[nodiscard]] bool canReserve(const vm_view &vm) const
    {
        return std::all_of(vm.steps.begin(), vm.steps.end(), [this](const long_running_step &each) {
            const step_load &load = m_steps.at(each.step);
            return load.reserved <= load.maxUnavailable;
        });
    }

    void reserve(const vm_view &vm)
    {
        for (const long_running_step &each : vm.steps)
            ++m_steps.at(each.step).reserved;
    }

private:
    struct step_load
    {
        std::size_t maxUnavailable{1};
        std::size_t vms{0};
        std::size_t reserved{0};
    };

    std::unordered_map<task_id, step_load> m_steps{};
};

/** VMs of a wave that still need maintenance and can be taken now. */
struct pending_vms
{
    std::vector<const vm_view *> empty{};
    /** With runs; includes reserved VMs. */
    std::vector<const vm_view *> busy{};
    /** Number of all VMs without finished maintenance, also of those that cannot be taken now. */
    std::size_t unfinished{0};
};

pending_vms findPending(const wave_entry &wave, const wave_progress &progress,
                        const fleet_snapshot &fleet)
{
    std::unordered_map<std::string_view, const vm_view *> byName;
    byName.reserve(fleet.vms.size());
    for (const vm_view &each : fleet.vms)
        byName.emplace(each.vm, &each);
    pending_vms pending;
    for (const std::string &name : wave.vms) {
        const auto found = byName.find(name);
        const vm_view *const vm = found == byName.end() ? nullptr : found->second;
        const bool hasLeft = !vm && fleet.shows(wave.knownAt);
        if (hasLeft || progress.finished.contains(name))
            continue;
        ++pending.unfinished;
        if (!vm || progress.inMaintenance.contains(name) || !vm->up || vm->hasPendingOrder)
            continue;
        (vm->isEmpty() ? pending.empty : pending.busy).push_back(vm);
    }
    return pending;
}

/** Sorts by most sequential interruptions, then fewest short runs, then fewest long runs. */
void sortBusy(std::vector<const vm_view *> &busy, const interruption_plan &interruptions)
{
    const auto rank = [&interruptions](const vm_view &vm) {
        return std::tuple{-static_cast<std::ptrdiff_t>(interruptions.sequentialInterruptions(vm)),
                          vm.shortRuns, vm.longRuns};
    };
    std::sort(busy.begin(), busy.end(), [&rank](const vm_view *left, const vm_view *right) {
        return rank(*left) < rank(*right);
    });
}

} // namespace

wave_step planWave(const wave_entry &wave, const wave_progress &progress,
                   const fleet_snapshot &fleet, boot_time now, const wave_options &options)
{
    pending_vms pending = findPending(wave, progress, fleet);
    wave_step step;
    step.completed = pending.unfinished == 0;
    const std::size_t parallelLimit = std::max<std::size_t>(wave.maxParallel, 1);
    interruption_plan interruptions{pending.busy};
    sortBusy(pending.busy, interruptions);
    const auto isReserved = [](const vm_view *vm) {
        return vm->reserved;
    };
    // A reserved VM keeps its place once it is empty; otherwise the next reservation takes it.
    const auto firstUnreserved =
        std::stable_partition(pending.empty.begin(), pending.empty.end(), isReserved);
    const auto vacated = static_cast<std::size_t>(firstUnreserved - pending.empty.begin());
    std::size_t occupied = progress.inMaintenance.size() + vacated
        + static_cast<std::size_t>(
                               std::count_if(pending.busy.begin(), pending.busy.end(), isReserved));
    for (auto each = pending.empty.begin(); each != firstUnreserved; ++each) {
        if (progress.inMaintenance.size() + step.vmsToMaintain.size() < parallelLimit)
            step.vmsToMaintain.push_back((*each)->vm);
    }
    const auto reserve = [&](const vm_view &vm) {
        step.vmsToReserve.push_back(vm.vm);
        interruptions.reserve(vm);
        ++occupied;
    };
    const milliseconds timeLeft = wave.deadline - options.deadlineMargin - now;
    const auto isCritical = [&](const vm_view &vm) {
        return 2 * options.interruptionTime
            * static_cast<milliseconds::rep>(interruptions.sequentialInterruptions(vm))
            >= timeLeft;
    };
    // Sequential interruptions that take over half of the time left have priority over empty VMs.
    std::vector<const vm_view *> nonCritical;
    for (const vm_view *const each : pending.busy) {
        if (each->reserved)
            continue;
        if (each->steps.empty() || !isCritical(*each))
            nonCritical.push_back(each);
        else if (occupied < parallelLimit && interruptions.canReserve(*each))
            reserve(*each);
    }
    for (auto each = firstUnreserved; each != pending.empty.end(); ++each) {
        if (occupied >= parallelLimit)
            return step;
        step.vmsToMaintain.push_back((*each)->vm);
        ++occupied;
    }
    const bool deadlineTight = isDeadlineTight(wave, pending.unfinished, now, options);
    const std::size_t maxReserved = progress.inMaintenance.size()
        + requiredReservations(wave, pending.busy.size(), now, options);
    for (const vm_view *const each : nonCritical) {
        const bool canWait =
            each->shortRuns > 0 || occupied >= maxReserved || !interruptions.canReserve(*each);
        if (occupied >= parallelLimit)
            break;
        if (deadlineTight || !canWait)
            reserve(*each);
    }
    return step;
}

} // namespace azurelb
