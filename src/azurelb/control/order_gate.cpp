#include <azurelb/control/order_gate.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace azurelb {

using std::chrono::milliseconds;

namespace {

/** Part of the greatest age of an input that is left for the answers of the store. */
constexpr milliseconds answerTime{100};
constexpr milliseconds minWatchWait{300};
/** A watch on a connection that has gone silent ends after its wait and a margin. */
constexpr milliseconds maxWatchWait{800};

/** An input, the source of its state and its greatest age. */
struct input_entry
{
    order_input input;
    std::string_view name;
    order_gate::state_source order_gate::sources::*source;
    milliseconds order_gate::options::*maxAge;
};

/** Indexed by order_input. */
constexpr std::array<input_entry, 4> inputs{{
    {order_input::lease, "lease", &order_gate::sources::lease, &order_gate::options::leaseAge},
    {order_input::jobs, "jobs", &order_gate::sources::jobs, &order_gate::options::jobsAge},
    {order_input::executors, "executors", &order_gate::sources::executors,
     &order_gate::options::executorsAge},
    {order_input::operators, "operators", &order_gate::sources::operators,
     &order_gate::options::operatorsAge},
}};

constexpr std::array vmInputs{order_input::lease, order_input::operators};

constexpr const input_entry &entryOf(order_input input) noexcept
{
    return inputs[static_cast<std::size_t>(input)];
}

} // namespace

std::string_view toString(order_input input) noexcept
{
    return entryOf(input).name;
}

milliseconds watchWaitFor(milliseconds maxAge) noexcept
{
    return std::clamp(maxAge / 2 - answerTime, minWatchWait, maxWatchWait);
}

order_gate::order_gate(const options &with, sources from, boot_time now)
    : m_options{with}
    , m_sources{std::move(from)}
    , m_activeAt{now}
{ }

void order_gate::recordActivity(boot_time now)
{
    if (now - m_activeAt > m_options.stallThreshold)
        m_resumedAt = now;
    m_activeAt = now;
}

read_state order_gate::stateOf(order_input input) const
{
    return (m_sources.*entryOf(input).source)();
}

milliseconds order_gate::ageOf(order_input input, boot_time now) const
{
    return now - stateOf(input).confirmedAt;
}

bool order_gate::isFailing(order_input input) const
{
    return stateOf(input).failedAt.has_value();
}

bool order_gate::isUsable(order_input input, boot_time now) const
{
    const read_state state = stateOf(input);
    const milliseconds maxAge = m_options.*entryOf(input).maxAge;
    if (now - state.confirmedAt <= maxAge)
        return true;
    const bool storeMayBeDown = state.failedAt && *state.failedAt >= m_resumedAt
        && storeAnsweredAt() - state.confirmedAt <= maxAge;
    return storeMayBeDown;
}

boot_time order_gate::storeAnsweredAt() const
{
    boot_time latest{};
    for (const order_input each : allOrderInputs) {
        const read_state state = stateOf(each);
        latest = std::max({latest, state.confirmedAt, state.answeredAt});
    }
    return latest;
}

std::optional<order_input> order_gate::findOutdatedInput(order_kind kind, boot_time now)
{
    recordActivity(now);
    const milliseconds limit = kind == order_kind::vm ? m_options.maxTimeSinceRenewalForVms
                                                      : m_options.maxTimeSinceRenewal;
    if (ageOf(order_input::lease, now) >= limit)
        return order_input::lease;
    const auto firstUnusable = [&](const auto &needed) -> std::optional<order_input> {
        const auto found = std::find_if(needed.begin(), needed.end(),
                                        [&](order_input each) { return !isUsable(each, now); });
        return found == needed.end() ? std::nullopt : std::optional{*found};
    };
    if (kind == order_kind::start)
        return firstUnusable(allOrderInputs);
    if (kind == order_kind::vm)
        return firstUnusable(vmInputs);
    return std::nullopt;
}

} // namespace azurelb
