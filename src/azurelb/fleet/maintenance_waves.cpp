#include <azurelb/fleet/fleet_draft.hpp>
#include <azurelb/fleet/plan_passes.hpp>
#include <azurelb/wire/config.pb.h>

#include <algorithm>
#include <tuple>

namespace azurelb {

namespace {

bool isPending(const wire::fleet_vm &vm, const std::string &wave)
{
    const auto &pending = vm.pending_waves();
    return std::find(pending.begin(), pending.end(), wave) != pending.end();
}

void removePending(wire::fleet_vm &vm, const std::string &wave)
{
    auto &pending = *vm.mutable_pending_waves();
    pending.erase(std::remove(pending.begin(), pending.end(), wave), pending.end());
}

bool hasNoVmsLeft(const wire::fleet_document &document, const std::string &wave)
{
    return std::none_of(
        document.vms().begin(), document.vms().end(),
        [&wave](const wire::fleet_vm &vm) { return vm.wave() == wave || isPending(vm, wave); });
}

void startWave(fleet_draft &draft, const wire::wave &wave)
{
    wire::fleet_document &document = draft.mutableDocument();
    wire::wave_progress &progress = *document.add_waves();
    progress.set_id(wave.id());
    progress.set_generation(wave.generation());
    progress.set_started_ms(draft.wallTimeMs());
    const auto &pools = wave.pools();
    for (wire::fleet_vm &vm : *document.mutable_vms()) {
        if (std::find(pools.begin(), pools.end(), vm.pool()) == pools.end())
            continue;
        vm.add_pending_waves(wave.id());
        progress.set_total(progress.total() + 1);
    }
    draft.addAuditRecord("wave", wave.id(),
                         "started with " + std::to_string(progress.total()) + " VMs");
}

/** Returns VMs that drain for the wave to service. If the wave is ending, also removes it from the
    pending waves of all VMs. */
void releaseVms(fleet_draft &draft, const std::string &wave, bool isWaveEnding)
{
    for (int index = 0; index < draft.size(); ++index) {
        wire::fleet_vm &vm = draft.at(index);
        const bool isDraining = vm.state() == wire::VM_STATE_DRAINING && vm.wave() == wave;
        if (isDraining) {
            vm.clear_wave();
            draft.setState(vm, wire::VM_STATE_SERVING, "wave " + wave + " takes no more VMs out");
        }
        if (isWaveEnding && isPending(vm, wave)) {
            (void)draft.mutableDocument();
            removePending(vm, wave);
        }
    }
}

void resumeWave(fleet_draft &draft, wire::wave_progress &progress, const wire::wave &wave)
{
    (void)draft.mutableDocument();
    progress.set_generation(wave.generation());
    progress.clear_paused();
    progress.clear_recent_failures();
    draft.addAuditRecord("wave", wave.id(), "continued by an operator");
}

void pauseAfterFailures(fleet_draft &draft, wire::wave_progress &progress)
{
    const auto &recent = progress.recent_failures();
    const auto failures = std::count(recent.begin(), recent.end(), true);
    if (!progress.paused().empty() || failures < draft.options().failureLimit)
        return;
    (void)draft.mutableDocument();
    progress.set_paused(std::to_string(failures) + " of the last " + std::to_string(recent.size())
                        + " reboots failed");
    draft.addAuditRecord("wave", progress.id(), "paused: " + progress.paused());
    releaseVms(draft, progress.id(), false);
}

void endWave(fleet_draft &draft, wire::wave_progress &progress)
{
    (void)draft.mutableDocument();
    progress.set_finished_ms(draft.wallTimeMs());
    progress.clear_paused();
    draft.addAuditRecord("wave", progress.id(),
                         "ended with " + std::to_string(progress.completed())
                             + " VMs maintained and " + std::to_string(progress.failed())
                             + " failed");
}

void updateWave(fleet_draft &draft, const wire::wave &wave)
{
    if (!draft.findWave(wave.id()) && !wave.stopped())
        startWave(draft, wave);
    wire::wave_progress *progress = draft.findWave(wave.id());
    if (!progress || progress->finished_ms() != 0)
        return;
    if (wave.stopped())
        releaseVms(draft, wave.id(), true);
    else if (wave.generation() != progress->generation())
        resumeWave(draft, *progress, wave);
    else
        pauseAfterFailures(draft, *progress);
    if (hasNoVmsLeft(draft.document(), wave.id()))
        endWave(draft, *progress);
}

bool isConfigured(const wire::config_document &config, const std::string &wave)
{
    return std::any_of(config.waves().begin(), config.waves().end(),
                       [&wave](const wire::wave &each) { return each.id() == wave; });
}

/** Removes waves that operators have removed from the configuration. */
void removeUnconfiguredWaves(fleet_draft &draft)
{
    for (int index = draft.document().waves_size() - 1; index >= 0; --index) {
        const std::string wave = draft.document().waves(index).id();
        if (isConfigured(draft.input().config, wave))
            continue;
        releaseVms(draft, wave, true);
        draft.mutableDocument().mutable_waves()->DeleteSubrange(index, 1);
    }
}

/** The greatest is preferred: unavailable VMs first, then VMs in the zone and in the rack with the
    most available VMs of the pool. */
using preference_key = std::tuple<bool, std::uint32_t, std::uint32_t>;

class wave_vm_selector
{
public:
    wave_vm_selector(fleet_draft &draft, const std::string &wave)
        : m_draft{draft}
        , m_wave{wave}
    { }

    /** Returns null if no VM of the wave can be taken out of service now. */
    [[nodiscard]] wire::fleet_vm *selectVm()
    {
        countAvailableByRack();
        wire::fleet_vm *best = nullptr;
        preference_key bestKey{};
        for (int index = 0; index < m_draft.size(); ++index) {
            wire::fleet_vm &vm = m_draft.at(index);
            if (!isReady(vm) || !m_draft.currentAvailability().canTakeOut(vm))
                continue;
            const preference_key key = preferenceOf(vm);
            if (!best || key > bestKey) {
                best = &vm;
                bestKey = key;
            }
        }
        return best;
    }

private:
    [[nodiscard]] bool isReady(const wire::fleet_vm &vm) const
    {
        if (!vm.wave().empty() || vm.absent() || !isPending(vm, m_wave))
            return false;
        if (m_draft.list().listedState(vm) != listed_state::live)
            return false;
        return vm.state() == wire::VM_STATE_SERVING || isWithheldByZone(m_draft, vm);
    }

    void countAvailableByRack()
    {
        m_availableByRack.clear();
        for (const wire::fleet_vm &vm : m_draft.document().vms()) {
            if (m_draft.currentAvailability().isAvailable(vm))
                ++m_availableByRack[vm.pool() + '/' + vm.rack()];
        }
    }

    [[nodiscard]] preference_key preferenceOf(const wire::fleet_vm &vm) const
    {
        const zone_availability &zone =
            m_draft.currentAvailability().find(vm.pool()).zones.at(vm.zone());
        const auto rack = m_availableByRack.find(vm.pool() + '/' + vm.rack());
        return {!m_draft.currentAvailability().isAvailable(vm), zone.available,
                rack == m_availableByRack.end() ? 0 : rack->second};
    }

    fleet_draft &m_draft;
    const std::string &m_wave;
    std::unordered_map<std::string, std::uint32_t> m_availableByRack{};
};

/** Moves spare VMs to pools whose minimum size blocks the wave. */
void assignSparesToWave(fleet_draft &draft, const std::string &wave)
{
    for (const wire::pool &pool : draft.input().config.pools()) {
        const pool_availability &count = draft.currentAvailability().find(pool.name());
        const auto &vms = draft.document().vms();
        const bool hasPending = std::any_of(vms.begin(), vms.end(), [&](const auto &vm) {
            return vm.pool() == pool.name() && vm.wave().empty() && isPending(vm, wave);
        });
        const bool isAtMinimum = count.unavailable() < pool.unavailable_vms()
            && count.available <= pool.minimum_vms() && count.members < pool.maximum_vms();
        if (!pool.spare() && hasPending && isAtMinimum)
            (void)assignSpareVm(draft, pool.name(), "in place of VMs in wave " + wave);
    }
}

} // namespace

void finishMaintenance(fleet_draft &draft, wire::fleet_vm &vm, bool isFailed)
{
    (void)draft.mutableDocument();
    const std::string wave = vm.wave();
    removePending(vm, wave);
    vm.clear_wave();
    vm.clear_reboots();
    if (!isFailed)
        vm.set_finished_wave(wave);
    wire::wave_progress *progress = draft.findWave(wave);
    if (!progress)
        return;
    if (isFailed)
        progress->set_failed(progress->failed() + 1);
    else
        progress->set_completed(progress->completed() + 1);
    progress->add_recent_failures(isFailed);
    if (progress->recent_failures_size() > draft.options().failureWindow)
        progress->mutable_recent_failures()->erase(progress->recent_failures().begin());
}

void updateWaves(fleet_draft &draft)
{
    for (const wire::wave &wave : draft.input().config.waves())
        updateWave(draft, wave);
    removeUnconfiguredWaves(draft);
}

void drainForWaves(fleet_draft &draft)
{
    for (int index = 0; index < draft.document().waves_size(); ++index) {
        const wire::wave_progress &progress = draft.document().waves(index);
        if (progress.finished_ms() != 0 || !progress.paused().empty())
            continue;
        const std::string wave = progress.id();
        assignSparesToWave(draft, wave);
        wave_vm_selector selector{draft, wave};
        while (wire::fleet_vm *vm = selector.selectVm()) {
            vm->set_wave(wave);
            draft.setState(*vm, wire::VM_STATE_DRAINING, "wave " + wave);
        }
    }
}

} // namespace azurelb
