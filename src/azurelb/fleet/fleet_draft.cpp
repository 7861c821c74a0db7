#include <azurelb/fleet/fleet_draft.hpp>

#include <azurelb/wire/config.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace azurelb {

namespace {

std::string toJson(const wire::fleet_vm &vm)
{
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(vm, &text);
    return text;
}

} // namespace

fleet_draft::fleet_draft(const plan_input &input, const fleet_options &options,
                         planner_history &history)
    : m_input{input}
    , m_options{options}
    , m_history{history}
    , m_list{input.list}
    , m_document{input.fleet}
{
    m_history.observe(input, m_list);
    m_history.demand().observe(input.demand, input.now, options.demandAveragingTime);
    for (const vm_observation &each : input.observations)
        m_observations.emplace(each.vm.value(), &each);
    for (const wire::pool &pool : input.config.pools()) {
        if (currentAvailability().find(pool.name()).available == 0)
            m_emptyPools.insert(pool.name());
    }
    indexVms();
}

void fleet_draft::indexVms()
{
    m_indexById.clear();
    for (int index = 0; index < size(); ++index)
        m_indexById.emplace(m_document.vms(index).id(), index);
}

wire::fleet_document &fleet_draft::mutableDocument()
{
    m_isChanged = true;
    m_availability.reset();
    return m_document;
}

const availability &fleet_draft::currentAvailability()
{
    if (!m_availability)
        m_availability.emplace(m_input.config, m_document, m_list);
    return *m_availability;
}

wire::fleet_vm *fleet_draft::findVm(const std::string &vm)
{
    const auto found = m_indexById.find(vm);
    return found == m_indexById.end() ? nullptr : &at(found->second);
}

wire::wave_progress *fleet_draft::findWave(const std::string &wave)
{
    auto &waves = *m_document.mutable_waves();
    const auto found =
        std::find_if(waves.begin(), waves.end(),
                     [&wave](const wire::wave_progress &each) { return each.id() == wave; });
    return found == waves.end() ? nullptr : &*found;
}

const wire::pool *fleet_draft::findPool(const std::string &name) const
{
    const auto &pools = m_input.config.pools();
    const auto found = std::find_if(pools.begin(), pools.end(), [&name](const wire::pool &pool) {
        return pool.name() == name;
    });
    return found == pools.end() ? nullptr : &*found;
}

const wire::pool *fleet_draft::sparePool() const
{
    const auto &pools = m_input.config.pools();
    const auto found = std::find_if(pools.begin(), pools.end(),
                                    [](const wire::pool &pool) { return pool.spare(); });
    return found == pools.end() ? nullptr : &*found;
}

const vm_observation *fleet_draft::findObservation(const std::string &vm) const
{
    const auto found = m_observations.find(vm);
    return found == m_observations.end() ? nullptr : found->second;
}

std::uint64_t fleet_draft::wallTimeMs() const
{
    const auto sinceEpoch = m_input.wallNow.time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

bool fleet_draft::hadNoAvailableVm(const std::string &pool) const
{
    return m_emptyPools.contains(pool);
}

void fleet_draft::setState(wire::fleet_vm &vm, wire::vm_state state, std::string_view reason)
{
    (void)mutableDocument();
    vm.set_state(state);
    vm.set_since_ms(wallTimeMs());
    vm.set_reason(std::string{reason});
}

void fleet_draft::assignToPool(wire::fleet_vm &vm, const std::string &pool, std::string_view reason)
{
    mutableDocument().add_recent_moves_ms(wallTimeMs());
    vm.set_pool(pool);
    vm.clear_next_pool();
    setState(vm, wire::VM_STATE_SERVING, reason);
}

void fleet_draft::addVm(const wire::listed_vm &listed, const std::string &pool,
                        std::string_view reason)
{
    wire::fleet_vm &vm = *mutableDocument().add_vms();
    vm.set_id(listed.id());
    vm.set_pool(pool);
    vm.set_zone(listed.zone());
    vm.set_rack(listed.rack());
    vm.set_boot_id(listed.boot_id());
    setState(vm, wire::VM_STATE_PROBING, reason);
    m_indexById.emplace(vm.id(), size() - 1);
}

void fleet_draft::removeVms(const std::vector<std::string> &vms)
{
    if (vms.empty())
        return;
    const std::unordered_set<std::string_view> dropped{vms.begin(), vms.end()};
    auto &all = *mutableDocument().mutable_vms();
    all.erase(
        std::remove_if(all.begin(), all.end(),
                       [&dropped](const wire::fleet_vm &vm) { return dropped.contains(vm.id()); }),
        all.end());
    indexVms();
}

void fleet_draft::addAuditRecord(std::string_view verb, const std::string &entity,
                                 std::string_view reason)
{
    wire::audit_record &added = m_result.records.emplace_back();
    added.set_change_id(m_input.stepId + "-" + std::to_string(m_result.records.size()));
    added.set_operator_name("planner");
    added.set_committed_at_ms(wallTimeMs());
    added.set_verb(std::string{verb});
    added.set_entity(entity);
    added.set_reason(std::string{reason});
}

void fleet_draft::addVmRecord(const wire::fleet_vm *before, const wire::fleet_vm *after)
{
    const wire::fleet_vm &newest = after ? *after : *before;
    addAuditRecord("plan", newest.id(), after ? after->reason() : "gone from the platform's list");
    wire::audit_record &added = m_result.records.back();
    if (before)
        added.set_before(toJson(*before));
    if (after)
        added.set_after(toJson(*after));
}

void fleet_draft::addVmRecords()
{
    std::unordered_set<std::string_view> known;
    for (const wire::fleet_vm &before : m_input.fleet.vms()) {
        known.insert(before.id());
        const wire::fleet_vm *after = findVm(before.id());
        const bool isSame = after && after->state() == before.state()
            && after->pool() == before.pool() && after->since_ms() == before.since_ms();
        if (!isSame)
            addVmRecord(&before, after);
    }
    for (const wire::fleet_vm &after : m_document.vms()) {
        if (!known.contains(after.id()))
            addVmRecord(nullptr, &after);
    }
}

plan_result fleet_draft::finish()
{
    if (m_isChanged) {
        addVmRecords();
        m_document.set_config_revision(static_cast<std::int64_t>(m_input.configRevision));
        m_result.document = std::move(m_document);
    }
    return std::move(m_result);
}

} // namespace azurelb
