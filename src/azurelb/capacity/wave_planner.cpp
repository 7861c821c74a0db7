#include <azurelb/capacity/wave_planner.hpp>

#include <algorithm>
#include <cstddef>

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

} // namespace

wave_step planWave(const wave_entry &wave, const wave_progress &progress,
                   const std::vector<vm_view> &vms, boot_time now, const wave_options &options)
{
    wave_step step;
    std::vector<const vm_view *> empty;
    std::vector<const vm_view *> busy;
    std::size_t left = 0;
    std::size_t used = progress.inMaintenance.size();
    std::size_t reserved = 0;
    for (const std::string &name : wave.vms) {
        const vm_view *const vm = findVm(vms, name);
        // A VM that has left the list needs no maintenance.
        if (!vm || progress.finished.contains(name))
            continue;
        ++left;
        if (progress.inMaintenance.contains(name) || !vm->up || vm->ordered)
            continue;
        if (vm->isEmpty())
            empty.push_back(vm);
        else if (vm->reserved)
            ++reserved;
        else
            busy.push_back(vm);
    }
    step.completed = left == 0;
    const std::size_t places = std::max<std::size_t>(wave.maxParallel, 1);
    for (const vm_view *const each : empty) {
        if (used >= places)
            return step;
        step.begin.push_back(each->vm);
        ++used;
    }
    std::sort(busy.begin(), busy.end(), [](const vm_view *a, const vm_view *b) {
        return a->shortRuns != b->shortRuns ? a->shortRuns < b->shortRuns
                                            : a->longRuns < b->longRuns;
    });
    const bool pressing = isPressing(wave, left, now, options);
    const std::size_t atOnce = reservationsAtOnce(wave, busy.size() + reserved, now, options);
    for (const vm_view *const each : busy) {
        if (used + reserved >= places || (!pressing && (each->shortRuns > 0 || reserved >= atOnce)))
            break;
        step.reserve.push_back(each->vm);
        ++reserved;
    }
    return step;
}

} // namespace azurelb
