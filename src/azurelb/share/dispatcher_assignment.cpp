#include <azurelb/share/dispatcher.hpp>

#include <algorithm>
#include <cmath>

namespace azurelb {

namespace {

using namespace std::chrono_literals;

/** Sequence of a slot that has not been part of an assignment yet. */
constexpr std::uint64_t unsentSequence{UINT64_MAX};
/** Longest time by which a lag grows in one update, in case the dispatcher was paused. */
constexpr duration maxStep{50ms};
/** Time within which a daemon's lag in fractions of a slot is compensated, and its bound. */
constexpr double lagWindowSeconds{0.2};
constexpr double maxLagSlotSeconds{0.3};
/** Bonus, when fractions of slots are rounded, for the daemon that already holds the slot. */
constexpr double holdingBonus{0.3};

[[nodiscard]] double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void dispatcher::recall(slot_state &slot, daemon_state &daemon)
{
    slot.isAssigned = false;
    --slot.upstream->assigned;
    daemon.isUrgent = true;
}

void dispatcher::recallIdle(upstream_state &upstream)
{
    std::uint32_t used = upstream.held;
    for (daemon_state &daemon : m_daemons) {
        for (slot_state &slot : daemon.slots) {
            if (used <= upstream.capacity)
                return;
            if (slot.upstream != &upstream || !slot.isAssigned || slot.isBusy)
                continue;
            recall(slot, daemon);
            --used;
        }
    }
}

void dispatcher::recallBusy(upstream_state &upstream)
{
    for (daemon_state &daemon : m_daemons) {
        for (slot_state &slot : daemon.slots) {
            if (upstream.assigned <= upstream.capacity)
                return;
            if (slot.upstream == &upstream && slot.isAssigned)
                recall(slot, daemon);
        }
    }
}

void dispatcher::recallExcess()
{
    for (auto &[vm, each] : m_upstreams) {
        recallIdle(each);
        recallBusy(each);
    }
}

dispatcher::size_type dispatcher::countAssigned(const daemon_state &daemon) noexcept
{
    return static_cast<size_type>(
        std::count_if(daemon.slots.begin(), daemon.slots.end(),
                      [](const slot_state &slot) { return slot.isAssigned; }));
}

double dispatcher::missingSlots(const daemon_state &daemon) noexcept
{
    return daemon.wantedSlots - static_cast<double>(countAssigned(daemon));
}

void dispatcher::setWantedSlots(time_point now)
{
    const double step = toSeconds(std::min<duration>(now - m_lastPlan, maxStep));
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        daemon_state &daemon = m_daemons[index];
        const double target = m_plan.targetOf(index).slots;
        const double behind = target - static_cast<double>(countAssigned(daemon));
        daemon.lagSlotSeconds = m_plan.isContended()
            ? std::clamp(daemon.lagSlotSeconds + behind * step, -maxLagSlotSeconds,
                         maxLagSlotSeconds)
            : 0;
        const double change = std::clamp(daemon.lagSlotSeconds / lagWindowSeconds, -1.0, 1.0);
        daemon.wantedSlots = std::max(target + change, 0.0);
    }
    roundWantedSlots();
}

void dispatcher::roundWantedSlots()
{
    double total = 0;
    double whole = 0;
    std::vector<std::pair<double, daemon_state *>> parts;
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        daemon_state &daemon = m_daemons[index];
        const double floor = std::floor(daemon.wantedSlots);
        const bool isHolding = static_cast<double>(countAssigned(daemon)) > floor;
        parts.emplace_back(daemon.wantedSlots - floor + (isHolding ? holdingBonus : 0), &daemon);
        total += m_plan.targetOf(index).slots;
        whole += floor;
        daemon.wantedSlots = floor;
    }
    std::sort(parts.begin(), parts.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    double rest = std::floor(total + 0.5) - whole;
    for (auto part = parts.begin(); part != parts.end() && rest >= 1; ++part, --rest)
        ++part->second->wantedSlots;
    for (auto part = parts.rbegin(); part != parts.rend() && rest <= -1; ++part) {
        if (part->second->wantedSlots < 1)
            continue;
        --part->second->wantedSlots;
        ++rest;
    }
}

dispatcher::held_counts dispatcher::countHeld(const daemon_state &daemon)
{
    held_counts counts;
    for (const slot_state &slot : daemon.slots)
        ++counts[slot.upstream];
    return counts;
}

dispatcher::upstream_state *dispatcher::chooseUpstream(const daemon_state &daemon, bool isAvoiding)
{
    upstream_state *best = nullptr;
    std::uint32_t fewest = m_options.maxSlotsPerDaemon;
    const held_counts counts = countHeld(daemon);
    for (auto &[vm, each] : m_upstreams) {
        if (each.held >= each.capacity || (isAvoiding && daemon.avoid.contains(vm)))
            continue;
        const auto counted = counts.find(&each);
        const std::uint32_t held = counted == counts.end() ? 0 : counted->second;
        const bool isFreer =
            best && held == fewest && each.capacity - each.held > best->capacity - best->held;
        if (held < fewest || isFreer) {
            best = &each;
            fewest = held;
        }
    }
    return best;
}

bool dispatcher::assignOne(daemon_state &daemon)
{
    upstream_state *upstream = chooseUpstream(daemon, true);
    if (!upstream && !canAvoid(daemon))
        upstream = chooseUpstream(daemon, false);
    if (!upstream)
        return false;
    daemon.slots.push_back({slot_id{m_nextSlot++}, upstream, unsentSequence, true, false});
    daemon.isUrgent = true;
    ++upstream->held;
    ++upstream->assigned;
    return true;
}

bool dispatcher::canAvoid(const daemon_state &daemon) const
{
    return !daemon.avoid.empty()
        && std::any_of(m_upstreams.begin(), m_upstreams.end(), [&daemon](const auto &entry) {
               return entry.second.capacity > 0 && !daemon.avoid.contains(entry.first);
           });
}

bool dispatcher::isLessUrgent(const daemon_state *left, const daemon_state *right)
{
    if (left->avoid.empty() != right->avoid.empty())
        return left->avoid.empty();
    return missingSlots(*left) < missingSlots(*right);
}

void dispatcher::recallForAvoidance(const daemon_state &daemon)
{
    for (const auto &[vm, each] : m_upstreams) {
        const bool isComing = each.held > each.assigned || each.held < each.capacity;
        if (!daemon.avoid.contains(vm) && each.capacity > 0 && isComing)
            return;
    }
    slot_state *found = nullptr;
    daemon_state *holder = nullptr;
    for (daemon_state &other : m_daemons) {
        for (slot_state &slot : other.slots) {
            const bool isSuitable = slot.isAssigned && !daemon.avoid.contains(slot.upstream->vm.vm);
            if (!isSuitable || (found && (slot.isBusy || !found->isBusy)))
                continue;
            found = &slot;
            holder = &other;
        }
    }
    if (found)
        recall(*found, *holder);
}

void dispatcher::assignFree()
{
    std::vector<daemon_state *> open;
    for (daemon_state &daemon : m_daemons) {
        if (daemon.isSynchronised && missingSlots(daemon) > 0)
            open.push_back(&daemon);
    }
    while (!open.empty()) {
        const auto most = std::max_element(open.begin(), open.end(),
                                           [](const daemon_state *left, const daemon_state *right) {
                                               return missingSlots(*left) < missingSlots(*right);
                                           });
        if (missingSlots(**most) <= 0)
            return;
        if (!assignOne(**most))
            open.erase(most);
    }
}

double dispatcher::slotShortage() const
{
    double sum = 0;
    for (size_type index = 0; index < m_daemons.size(); ++index) {
        const daemon_state &daemon = m_daemons[index];
        const double least = m_plan.isWaiting(index) ? 1 : 2;
        if (daemon.isSynchronised && missingSlots(daemon) >= least)
            sum += missingSlots(daemon) - least + 1;
    }
    for (const auto &[vm, each] : m_upstreams)
        sum -= std::max(std::min(each.held, each.capacity), each.assigned) - each.assigned;
    return sum;
}

bool dispatcher::recallOne(daemon_state &daemon)
{
    slot_state *found = nullptr;
    for (slot_state &slot : daemon.slots) {
        if (slot.isAssigned && (!found || (found->isBusy && !slot.isBusy)))
            found = &slot;
    }
    if (!found)
        return false;
    recall(*found, daemon);
    return true;
}

void dispatcher::recallForWaiting()
{
    for (const daemon_state &daemon : m_daemons) {
        if (daemon.isSynchronised && missingSlots(daemon) >= 1 && canAvoid(daemon))
            recallForAvoidance(daemon);
    }
    for (double needed = slotShortage(); needed >= 1; --needed) {
        const auto most = std::min_element(m_daemons.begin(), m_daemons.end(),
                                           [](const daemon_state &left, const daemon_state &right) {
                                               return missingSlots(left) < missingSlots(right);
                                           });
        if (most == m_daemons.end() || missingSlots(*most) > -1 || !recallOne(*most))
            return;
    }
}

} // namespace azurelb
