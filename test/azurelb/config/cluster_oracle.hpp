#pragma once

#include "change_samples.hpp"
#include "cluster_model.hpp"

#include <rapidcheck.h>

#include <deque>

namespace azurelb {

/**
 * Records the outcomes reported to operators and planners, and checks the guarantees that follow
 * from them.
 */
class cluster_oracle
{
    struct acceptance
    {
        time_point at;
        document_revisions held;
    };

public:
    /** A change accepted longer ago than this must be held by every daemon that may start work. */
    static constexpr std::chrono::seconds propagationBound{2};

    explicit cluster_oracle(cluster_model &cluster)
        : m_cluster{cluster}
    { }

    /** Submits a change and records its outcome. */
    void submit(std::size_t slot, const wire::change &change)
    {
        m_cluster.daemon(slot).documents->submit(
            change, [this, change](const change_outcome &outcome) { onOutcome(change, outcome); });
    }

    /** Repeats the latest change whose outcome is unknown. */
    void repeatUnknown(std::size_t slot)
    {
        if (m_unknown.empty())
            return;
        const wire::change change = m_unknown.back();
        m_unknown.pop_back();
        submit(slot, change);
    }

    void writeFleet(std::size_t slot)
    {
        const fleet_view_ptr held = m_cluster.daemon(slot).documents->fleet();
        wire::fleet_document document = held->document();
        document.add_vms()->set_id("w" + std::to_string(++m_fleetWrites));
        m_cluster.daemon(slot).documents->replaceFleet(
            document, held->storeRevision(), {}, [this, document](const fleet_outcome &outcome) {
                if (outcome.error == change_error::none)
                    accept({revision{}, outcome.at});
                if (outcome.error == change_error::none || outcome.error == change_error::conflict)
                    m_fleetOutcomes[document.vms().rbegin()->id()] = outcome.error;
            });
    }

    /** Checks all daemons at the current time. */
    void check()
    {
        const time_point now = m_cluster.time.now();
        while (!m_accepted.empty() && m_accepted.front().at < now - propagationBound) {
            raiseRevisions(m_requiredRevisions, m_accepted.front().held);
            m_accepted.pop_front();
        }
        for (model_daemon *each : m_cluster.processes())
            checkDaemon(*each);
    }

    /** Checks the store against all recorded outcomes. Precondition: no call is in flight. */
    void checkStore() const
    {
        const std::map<std::string, std::size_t> recorded = countRecords();
        for (const auto &[id, times] : recorded)
            RC_ASSERT(times == 1U);
        for (const std::string &id : m_committed)
            RC_ASSERT(recorded.contains(id));
        for (const std::string &id : m_refused)
            RC_ASSERT(!recorded.contains(id));
        checkStoredEntities();
    }

    [[nodiscard]] bool isCommitted(const std::string &id) const { return m_committed.contains(id); }
    [[nodiscard]] std::size_t countCommitted() const noexcept { return m_committed.size(); }

private:
    void onOutcome(const wire::change &change, const change_outcome &outcome)
    {
        if (outcome.error == change_error::none) {
            m_committed.insert(change.id());
            accept({revision{static_cast<std::int64_t>(outcome.result.revision())}, revision{}});
        } else if (outcome.error == change_error::unknown) {
            m_unknown.push_back(change);
            m_everUnknown.insert(change.id());
        } else if (outcome.error == change_error::unavailable
                   && m_everUnknown.contains(change.id())) {
            // The error refers to this call only; the outcome of the earlier one remains unknown.
            m_unknown.push_back(change);
        } else {
            m_refused.insert(change.id());
        }
    }

    void accept(const document_revisions &held)
    {
        m_accepted.push_back({m_cluster.time.now(), held});
    }

    static void raiseRevisions(document_revisions &low, const document_revisions &high)
    {
        low.config = std::max(low.config, high.config);
        low.fleet = std::max(low.fleet, high.fleet);
    }

    void checkDaemon(model_daemon &each)
    {
        if (each.dead || each.paused)
            return;
        const document_revisions held{each.documents->config()->storeRevision(),
                                      each.documents->fleet()->storeRevision()};
        RC_ASSERT(held.covers(each.seen));
        each.seen = held;
        if (each.documents->isConfirmed())
            RC_ASSERT(held.covers(m_requiredRevisions));
    }

    [[nodiscard]] std::map<std::string, std::size_t> countRecords() const
    {
        std::map<std::string, std::size_t> counts;
        for (const wire::audit_record &record : records())
            ++counts[record.change_id()];
        return counts;
    }

    [[nodiscard]] std::vector<wire::audit_record> records() const
    {
        std::vector<wire::audit_record> found;
        for (const auto &[key, pair] : m_cluster.backend.contents()) {
            wire::audit_record record;
            if (key.starts_with("/azurelb/audit/") && record.ParseFromString(pair.value()))
                found.push_back(std::move(record));
        }
        return found;
    }

    /**
     * Checks that every entity matches its newest audit record, and every fleet write its reported
     * outcome.
     */
    void checkStoredEntities() const
    {
        std::map<std::string, wire::audit_record> latest;
        for (const wire::audit_record &record : records()) {
            wire::audit_record &newest = latest[record.entity()];
            if (record.generation() >= newest.generation())
                newest = record;
        }
        const auto stored = storedDocument<wire::config_document>("/azurelb/config");
        for (const wire::team &team : stored.teams()) {
            const std::string limit = "\"limit\":" + std::to_string(team.limit()) + ",";
            RC_ASSERT(latest["team/" + team.name()].after().find(limit) != std::string::npos);
        }
        std::set<std::string> vms;
        const auto fleet = storedDocument<wire::fleet_document>("/azurelb/fleet");
        for (const wire::fleet_vm &vm : fleet.vms())
            vms.insert(vm.id());
        for (const auto &[vm, reported] : m_fleetOutcomes)
            RC_ASSERT(vms.contains(vm) == (reported == change_error::none));
    }

    template <typename Document>
    [[nodiscard]] Document storedDocument(const std::string &key) const
    {
        Document document;
        const auto found = m_cluster.backend.contents().find(key);
        if (found != m_cluster.backend.contents().end())
            document.ParseFromString(found->second.value());
        return document;
    }

    cluster_model &m_cluster;
    std::deque<acceptance> m_accepted{};
    /** Revisions that every daemon that may start work must hold now. */
    document_revisions m_requiredRevisions{};
    std::set<std::string> m_committed{};
    std::set<std::string> m_refused{};
    std::vector<wire::change> m_unknown{};
    std::set<std::string> m_everUnknown{};
    std::map<std::string, change_error> m_fleetOutcomes{};
    std::uint64_t m_fleetWrites{0};
};

} // namespace azurelb
