#include <azurelb/limits/document_inputs.hpp>

#include <azurelb/limits/rights_wire.hpp>

#include <algorithm>

namespace azurelb {

namespace {

using internal::fromWire;
using internal::toWire;

/** Edits a copy of the document and records whether anything changed. */
class document_editor
{
public:
    document_editor(const wire::rights_document &current, const document_inputs &inputs)
        : m_inputs{inputs}
        , m_next{current}
    { }

    [[nodiscard]] bool isChanged() const noexcept { return m_changed; }

    [[nodiscard]] wire::rights_document take() { return std::move(m_next); }

    void registerDaemons()
    {
        for (const member &daemon : m_inputs.unregistered) {
            if (internal::findHolder(m_next, daemon))
                continue;
            wire::rights_holder &added = *m_next.add_holders();
            toWire(daemon, *added.mutable_member());
            m_next.set_last_number(m_next.last_number() + 1);
            added.set_number(m_next.last_number());
            m_changed = true;
        }
    }

    void markClosing()
    {
        for (wire::rights_holder &holder : *m_next.mutable_holders()) {
            const bool gone = m_inputs.gone.contains(fromWire(holder.member()));
            if (!gone || holder.closing())
                continue;
            holder.set_closing(true);
            m_changed = true;
        }
    }

    /** Mints missing and burns surplus rights, unless the document has a newer configuration. */
    void applyLimits()
    {
        const auto at = static_cast<std::int64_t>(m_inputs.limits.configRevision);
        wire::rights_holder *own = findOwn();
        if (!own || at < m_next.config_revision())
            return;
        if (at > m_next.config_revision()) {
            m_next.set_config_revision(at);
            m_changed = true;
        }
        team_counts minted = fromWire(own->minted());
        for (const auto &[team, change] : changes()) {
            minted[team] += change;
            m_changed = true;
        }
        toWire(minted, *own->mutable_minted());
    }

    void reclaim()
    {
        if (!isReclaimDue())
            return;
        wire::rights_document remaining = m_next;
        remaining.clear_holders();
        team_counts balance;
        for (const wire::rights_holder &holder : m_next.holders()) {
            if (holder.closing())
                add(balance, fromWire(holder.minted()));
            else
                *remaining.add_holders() = withoutNetTransfers(holder, balance);
        }
        m_next = std::move(remaining);
        wire::rights_holder *own = findOwn();
        add(balance, fromWire(own->minted()));
        toWire(balance, *own->mutable_minted());
        m_changed = true;
    }

private:
    static void add(team_counts &sum, const team_counts &added)
    {
        for (const auto &[team, count] : added)
            sum[team] += count;
    }

    [[nodiscard]] wire::rights_holder *findOwn()
    {
        for (wire::rights_holder &holder : *m_next.mutable_holders()) {
            if (!holder.closing() && fromWire(holder.member()) == m_inputs.self)
                return &holder;
        }
        return nullptr;
    }

    /** Returns the rights to mint (positive) or burn (negative) by team. */
    [[nodiscard]] team_counts changes() const
    {
        team_counts sums = internal::mintedOf(m_next);
        for (const auto &[team, limit] : m_inputs.limits.limits)
            sums.try_emplace(team, 0);
        team_counts result;
        for (const auto &[team, sum] : sums) {
            const auto found = m_inputs.burnable.find(team);
            const right_count burnable = found == m_inputs.burnable.end() ? 0 : found->second;
            const right_count change = std::max(m_inputs.limits.find(team) - sum, -burnable);
            if (change != 0)
                result.emplace(team, change);
        }
        return result;
    }

    [[nodiscard]] bool isReclaimDue()
    {
        std::vector<member> closing;
        for (const wire::rights_holder &holder : m_next.holders()) {
            if (holder.closing())
                closing.push_back(fromWire(holder.member()));
        }
        const auto ended = [this](const member &each) {
            return m_inputs.ended.contains(each);
        };
        const auto settled = [&](const wire::rights_holder &holder) {
            return holder.closing() || hasStated(fromWire(holder.member()), closing);
        };
        const auto &holders = m_next.holders();
        return findOwn() && !closing.empty() && std::all_of(closing.begin(), closing.end(), ended)
            && std::all_of(holders.begin(), holders.end(), settled);
    }

    [[nodiscard]] bool hasStated(const member &holder, const std::vector<member> &closing) const
    {
        const auto found = m_inputs.statements.find(holder);
        if (found == m_inputs.statements.end())
            return false;
        const net_transfers &nets = found->second;
        return std::all_of(closing.begin(), closing.end(),
                           [&nets](const member &each) { return nets.contains(each); });
    }

    /** Returns the row without net transfers to closing holders, which are moved to `balance`. */
    [[nodiscard]] wire::rights_holder withoutNetTransfers(const wire::rights_holder &holder,
                                                          team_counts &balance) const
    {
        team_counts minted = fromWire(holder.minted());
        for (const auto &[closed, nets] : m_inputs.statements.at(fromWire(holder.member()))) {
            if (!internal::findHolder(m_next, closed))
                continue;
            for (const auto &[team, count] : nets) {
                minted[team] -= count;
                balance[team] += count;
            }
        }
        wire::rights_holder result = holder;
        toWire(minted, *result.mutable_minted());
        return result;
    }

    const document_inputs &m_inputs;
    wire::rights_document m_next;
    bool m_changed{false};
};

} // namespace

std::optional<wire::rights_document> nextDocument(const wire::rights_document &current,
                                                  const document_inputs &inputs)
{
    document_editor editor{current, inputs};
    editor.registerDaemons();
    editor.markClosing();
    editor.applyLimits();
    if (!editor.isChanged())
        editor.reclaim();
    if (!editor.isChanged())
        return std::nullopt;
    return editor.take();
}

} // namespace azurelb
