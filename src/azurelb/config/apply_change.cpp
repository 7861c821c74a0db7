#include <azurelb/config/apply_change.hpp>
#include <azurelb/config/change_failure.hpp>
#include <azurelb/config/internal/change_rules.hpp>
#include <azurelb/config/internal/entity_list.hpp>

#include <boost/leaf/error.hpp>
#include <google/protobuf/util/json_util.h>

#include <array>

namespace azurelb {

namespace {

using namespace internal;

/** A change being applied, with the document copy and the audit record that it modifies. */
struct change_context
{
    const wire::change &change;
    applied_change &result;

    [[nodiscard]] wire::config_document &document() const noexcept { return result.document; }

    [[nodiscard]] std::uint64_t generation() const noexcept { return result.document.generation(); }
};

using verb_function = check_result (*)(const change_context &);

struct verb_entry
{
    wire::change::VerbCase verb;
    std::string_view name;
    verb_function apply;
};

std::string toJson(const google::protobuf::Message &entity)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string json;
    // Cannot fail: messages of plain fields always have a JSON form.
    (void)google::protobuf::util::MessageToJsonString(entity, &json, options);
    return json;
}

check_result checkGeneration(const change_context &context, std::uint64_t present)
{
    context.result.previousGeneration = present;
    const wire::change &change = context.change;
    if (!change.has_expected_generation() || change.expected_generation() == present)
        return {};
    std::string detail = context.result.record.entity() + " has generation "
        + std::to_string(present) + ", expected " + std::to_string(change.expected_generation());
    return boost::leaf::new_error(
        change_failure{change_error::conflict, std::move(detail), context.result.record.entity()});
}

template <typename Entity>
void setBefore(const change_context &context, const Entity &entity)
{
    context.result.record.set_before(toJson(entity));
}

template <typename Entity>
void setAfter(const change_context &context, Entity &entity)
{
    entity.set_generation(context.generation());
    context.result.record.set_after(toJson(entity));
}

template <typename List>
auto findExisting(const change_context &context, List &list, const std::string &key,
                  std::string_view kind) -> boost::leaf::result<typename List::iterator>
{
    context.result.record.set_entity(std::string{kind} + "/" + key);
    const auto found = findEntity(list, key);
    BOOST_LEAF_CHECK(checkGeneration(context, found == list.end() ? 0 : found->generation()));
    BOOST_LEAF_CHECK(require(found != list.end(), kind, key, "an existing " + std::string{kind}));
    setBefore(context, *found);
    return found;
}

template <typename List>
check_result put(const change_context &context, List &list, typename List::value_type wanted,
                 std::string_view kind)
{
    context.result.record.set_entity(std::string{kind} + "/" + keyOf(wanted));
    auto found = findEntity(list, keyOf(wanted));
    const bool exists = found != list.end();
    BOOST_LEAF_CHECK(checkGeneration(context, exists ? found->generation() : 0));
    BOOST_LEAF_CHECK(check(context.document(), wanted));
    if (exists)
        setBefore(context, *found);
    setAfter(context, wanted);
    (exists ? *found : *list.Add()) = std::move(wanted);
    return {};
}

/** Adds an entity; fails if one with the same key exists. */
template <typename List>
check_result add(const change_context &context, List &list, const typename List::value_type &wanted,
                 std::string_view kind)
{
    BOOST_LEAF_CHECK(
        require(!contains(list, keyOf(wanted)), kind, keyOf(wanted), "a new " + std::string{kind}));
    return put(context, list, wanted, kind);
}

template <typename List>
check_result remove(const change_context &context, List &list, const std::string &key,
                    std::string_view kind)
{
    BOOST_LEAF_AUTO(found, findExisting(context, list, key, kind));
    list.erase(found);
    return {};
}

check_result putPool(const change_context &context)
{
    return put(context, *context.document().mutable_pools(), context.change.put_pool(), "pool");
}

check_result removePool(const change_context &context)
{
    const std::string &name = context.change.remove_pool();
    BOOST_LEAF_CHECK(checkUnusedPool(context.document(), name));
    return remove(context, *context.document().mutable_pools(), name, "pool");
}

check_result putQueue(const change_context &context)
{
    return put(context, *context.document().mutable_queues(), context.change.put_queue(), "queue");
}

check_result removeQueue(const change_context &context)
{
    return remove(context, *context.document().mutable_queues(), context.change.remove_queue(),
                  "queue");
}

check_result putTeam(const change_context &context)
{
    return put(context, *context.document().mutable_teams(), context.change.put_team(), "team");
}

check_result removeTeam(const change_context &context)
{
    const std::string &name = context.change.remove_team();
    BOOST_LEAF_CHECK(checkUnusedTeam(context.document(), name));
    return remove(context, *context.document().mutable_teams(), name, "team");
}

check_result addKey(const change_context &context)
{
    return add(context, *context.document().mutable_keys(), context.change.add_key(), "key");
}

check_result withdrawKey(const change_context &context)
{
    return remove(context, *context.document().mutable_keys(), context.change.withdraw_key(),
                  "key");
}

check_result setZone(const change_context &context, const std::string &name, bool out)
{
    BOOST_LEAF_CHECK(checkName("zone", name));
    auto &zones = *context.document().mutable_zones();
    context.result.record.set_entity("zone/" + name);
    auto found = findEntity(zones, name);
    const bool exists = found != zones.end();
    BOOST_LEAF_CHECK(checkGeneration(context, exists ? found->generation() : 0));
    if (exists)
        setBefore(context, *found);
    wire::availability_zone &zone = exists ? *found : *zones.Add();
    zone.set_name(name);
    zone.set_out(out);
    setAfter(context, zone);
    return {};
}

check_result zoneOut(const change_context &context)
{
    return setZone(context, context.change.zone_out(), true);
}

check_result zoneIn(const change_context &context)
{
    return setZone(context, context.change.zone_in(), false);
}

check_result setPreferences(const change_context &context)
{
    wire::preference wanted = context.change.set_preferences();
    wire::config_document &document = context.document();
    context.result.record.set_entity("preferences");
    BOOST_LEAF_CHECK(checkGeneration(context, document.preferences().generation()));
    BOOST_LEAF_CHECK(check(document, wanted));
    if (document.has_preferences())
        setBefore(context, document.preferences());
    setAfter(context, wanted);
    *document.mutable_preferences() = std::move(wanted);
    return {};
}

check_result startWave(const change_context &context)
{
    auto &waves = *context.document().mutable_waves();
    const auto stopped = std::find_if(waves.begin(), waves.end(),
                                      [](const wire::wave &wave) { return wave.stopped(); });
    if (waves.size() >= maxWaves && stopped != waves.end())
        waves.erase(stopped);
    BOOST_LEAF_CHECK(require(waves.size() < maxWaves, "waves", std::to_string(waves.size()),
                             "at most 64 that are not stopped; stop one first"));
    return add(context, waves, context.change.start_wave(), "wave");
}

/** A wave that paused itself resumes when its generation changes. */
check_result resumeWave(const change_context &context)
{
    const std::string &id = context.change.resume_wave();
    BOOST_LEAF_AUTO(found, findExisting(context, *context.document().mutable_waves(), id, "wave"));
    BOOST_LEAF_CHECK(require(!found->stopped(), "wave", id, "a wave that is not stopped"));
    setAfter(context, *found);
    return {};
}

check_result stopWave(const change_context &context)
{
    const std::string &id = context.change.stop_wave();
    BOOST_LEAF_AUTO(found, findExisting(context, *context.document().mutable_waves(), id, "wave"));
    BOOST_LEAF_CHECK(require(!found->stopped(), "wave", id, "a wave that is not stopped"));
    found->set_stopped(true);
    setAfter(context, *found);
    return {};
}

check_result orderMove(const change_context &context)
{
    auto &orders = *context.document().mutable_moves();
    BOOST_LEAF_CHECK(put(context, orders, context.change.order_move(), "move"));
    if (orders.size() > maxMoveOrders) {
        const auto older = [](const wire::move_order &left, const wire::move_order &right) {
            return left.generation() < right.generation();
        };
        orders.erase(std::min_element(orders.begin(), orders.end(), older));
    }
    return {};
}

constexpr std::array verbs{
    verb_entry{wire::change::kPutPool, "put_pool", &putPool},
    verb_entry{wire::change::kRemovePool, "remove_pool", &removePool},
    verb_entry{wire::change::kPutQueue, "put_queue", &putQueue},
    verb_entry{wire::change::kRemoveQueue, "remove_queue", &removeQueue},
    verb_entry{wire::change::kPutTeam, "put_team", &putTeam},
    verb_entry{wire::change::kRemoveTeam, "remove_team", &removeTeam},
    verb_entry{wire::change::kAddKey, "add_key", &addKey},
    verb_entry{wire::change::kWithdrawKey, "withdraw_key", &withdrawKey},
    verb_entry{wire::change::kZoneOut, "zone_out", &zoneOut},
    verb_entry{wire::change::kZoneIn, "zone_in", &zoneIn},
    verb_entry{wire::change::kSetPreferences, "set_preferences", &setPreferences},
    verb_entry{wire::change::kStartWave, "start_wave", &startWave},
    verb_entry{wire::change::kStopWave, "stop_wave", &stopWave},
    verb_entry{wire::change::kResumeWave, "resume_wave", &resumeWave},
    verb_entry{wire::change::kOrderMove, "order_move", &orderMove},
};

boost::leaf::result<const verb_entry *> findVerb(const wire::change &change)
{
    const auto found = std::find_if(verbs.begin(), verbs.end(), [&change](const verb_entry &each) {
        return each.verb == change.verb_case();
    });
    BOOST_LEAF_CHECK(require(found != verbs.end(), "verb", "", "one verb of the change message"));
    return &*found;
}

void initRecord(applied_change &result, const wire::change &change, std::string_view verb)
{
    result.record.set_change_id(change.id());
    result.record.set_operator_name(change.operator_name());
    result.record.set_verb(std::string{verb});
    result.record.set_generation(result.document.generation());
}

} // namespace

boost::leaf::result<applied_change> applyChange(const wire::config_document &document,
                                                const wire::change &change)
{
    BOOST_LEAF_CHECK(checkCommonFields(change));
    BOOST_LEAF_AUTO(verb, findVerb(change));
    applied_change result;
    result.document = document;
    result.document.set_generation(document.generation() + 1);
    initRecord(result, change, verb->name);
    BOOST_LEAF_CHECK(verb->apply(change_context{change, result}));
    const std::size_t bytes = result.document.ByteSizeLong();
    BOOST_LEAF_CHECK(require(bytes <= maxDocumentBytes, "document",
                             std::to_string(bytes) + " bytes", "at most 900000 bytes"));
    return result;
}

} // namespace azurelb
