#include <azurelb/share/share_codec.hpp>

#include <azurelb/wire/share.pb.h>

namespace azurelb {

namespace {

[[nodiscard]] std::uint64_t toCount(std::chrono::microseconds span)
{
    return static_cast<std::uint64_t>(span.count());
}

[[nodiscard]] std::chrono::microseconds toSpan(std::uint64_t count)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(count)};
}

void encodeTeams(const slot_report &report, wire::share_report &message)
{
    for (const team_load &each : report.teams) {
        wire::share_team &team = *message.add_teams();
        team.set_team(each.team.value());
        team.set_backed(each.backed);
        team.set_waiting(each.waiting);
        team.set_running(each.running);
        team.set_used_us(toCount(each.used));
    }
}

void encodeSlots(const slot_report &report, wire::share_report &message)
{
    for (const held_slot &each : report.slots) {
        wire::share_slot &slot = *message.add_slots();
        slot.set_id(static_cast<std::uint64_t>(each.id));
        slot.set_vm(each.vm.value());
        slot.set_busy(each.isBusy);
    }
}

void encodeOutcomes(const slot_report &report, wire::share_report &message)
{
    for (const outcome_count &each : report.outcomes) {
        wire::share_outcomes &outcomes = *message.add_outcomes();
        outcomes.set_vm(each.vm.value());
        outcomes.set_answered(each.answered);
        outcomes.set_failed(each.failed);
        outcomes.set_refused(each.refused);
    }
}

} // namespace

void encode(const slot_report &report, wire::share_report &message)
{
    message.set_term(report.term);
    message.set_sequence(report.sequence);
    message.set_acknowledged(report.acknowledged);
    message.set_sent_at_us(toCount(report.sentAt));
    message.set_reply_wanted(report.isReplyWanted);
    for (const vm_id &vm : report.avoid)
        message.add_avoid(vm.value());
    encodeTeams(report, message);
    encodeSlots(report, message);
    encodeOutcomes(report, message);
}

void encode(const slot_assignment &assignment, wire::share_assignment &message)
{
    message.set_term(assignment.term);
    message.set_sequence(assignment.sequence);
    message.set_acknowledged(assignment.acknowledged);
    message.set_report_sent_at_us(toCount(assignment.reportSentAt));
    message.set_query(assignment.isQuery);
    message.set_contended(assignment.isContended);
    for (const assigned_slot &each : assignment.slots) {
        wire::share_slot &slot = *message.add_slots();
        slot.set_id(static_cast<std::uint64_t>(each.id));
        slot.set_vm(each.vm.value());
    }
    for (const team_weight &each : assignment.weights) {
        wire::share_weight &weight = *message.add_weights();
        weight.set_team(each.team.value());
        weight.set_weight(each.weight);
    }
}

slot_report decode(const wire::share_report &message)
{
    slot_report report;
    report.term = message.term();
    report.sequence = message.sequence();
    report.acknowledged = message.acknowledged();
    report.sentAt = toSpan(message.sent_at_us());
    report.isReplyWanted = message.reply_wanted();
    for (const std::string &vm : message.avoid())
        report.avoid.emplace_back(vm);
    for (const wire::share_team &each : message.teams())
        report.teams.push_back({team_name{each.team()}, each.backed(), each.waiting(),
                                each.running(), toSpan(each.used_us())});
    for (const wire::share_slot &each : message.slots())
        report.slots.push_back({slot_id{each.id()}, vm_id{each.vm()}, each.busy()});
    for (const wire::share_outcomes &each : message.outcomes())
        report.outcomes.push_back(
            {vm_id{each.vm()}, each.answered(), each.failed(), each.refused()});
    return report;
}

slot_assignment decode(const wire::share_assignment &message)
{
    slot_assignment assignment;
    assignment.term = message.term();
    assignment.sequence = message.sequence();
    assignment.acknowledged = message.acknowledged();
    assignment.reportSentAt = toSpan(message.report_sent_at_us());
    assignment.isQuery = message.query();
    assignment.isContended = message.contended();
    for (const wire::share_slot &each : message.slots())
        assignment.slots.push_back({slot_id{each.id()}, vm_id{each.vm()}});
    for (const wire::share_weight &each : message.weights())
        assignment.weights.push_back({team_name{each.team()}, each.weight()});
    return assignment;
}

} // namespace azurelb
