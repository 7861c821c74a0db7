#include <azurelb/config/apply_change.hpp>
#include <azurelb/config/change_fault.hpp>
#include <azurelb/config/internal/change_rules.hpp>
#include <azurelb/config/internal/entity_list.hpp>

#include <boost/leaf/error.hpp>
#include <google/protobuf/util/json_util.h>

#include <array>

namespace azurelb {

namespace {

using namespace internal;

/** One change under way: the copy that it is applied to, and the record that it fills. */
struct edit
{
    const wire::change &change;
    applied_change &result;

    [[nodiscard]] wire::config_document &document() const noexcept { return result.document; }

    [[nodiscard]] std::uint64_t generation() const noexcept { return result.document.generation(); }
};

using verb_function = checked (*)(const edit &);

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
    // A message of plain fields always has a JSON form.
    (void)google::protobuf::util::MessageToJsonString(entity, &json, options);
    return json;
}

checked checkGeneration(const edit &target, std::uint64_t present)
{
    target.result.previousGeneration = present;
    const wire::change &change = target.change;
    if (!change.has_expected_generation() || change.expected_generation() == present)
        return {};
    std::string detail = target.result.record.entity() + " has generation "
        + std::to_string(present) + ", expected " + std::to_string(change.expected_generation());
    return boost::leaf::new_error(
        change_fault{change_error::conflict, std::move(detail), target.result.record.entity()});
}

template <typename Entity>
void setBefore(const edit &target, const Entity &entity)
{
    target.result.record.set_before(toJson(entity));
}

template <typename Entity>
void setAfter(const edit &target, Entity &entity)
{
    entity.set_generation(target.generation());
    target.result.record.set_after(toJson(entity));
}

template <typename List>
auto checkExists(const edit &target, List &list, const std::string &key, std::string_view kind)
    -> boost::leaf::result<typename List::iterator>
{
    target.result.record.set_entity(std::string{kind} + "/" + key);
    const auto found = findEntity(list, key);
    BOOST_LEAF_CHECK(checkGeneration(target, found == list.end() ? 0 : found->generation()));
    BOOST_LEAF_CHECK(require(found != list.end(), kind, key, "an existing " + std::string{kind}));
    setBefore(target, *found);
    return found;
}

template <typename List>
checked put(const edit &target, List &list, typename List::value_type wanted, std::string_view kind)
{
    target.result.record.set_entity(std::string{kind} + "/" + keyOf(wanted));
    auto found = findEntity(list, keyOf(wanted));
    const bool exists = found != list.end();
    BOOST_LEAF_CHECK(checkGeneration(target, exists ? found->generation() : 0));
    BOOST_LEAF_CHECK(check(target.document(), wanted));
    if (exists)
        setBefore(target, *found);
    setAfter(target, wanted);
    (exists ? *found : *list.Add()) = std::move(wanted);
    return {};
}

/** Adds an entity that may not exist yet. */
template <typename List>
checked add(const edit &target, List &list, const typename List::value_type &wanted,
            std::string_view kind)
{
    BOOST_LEAF_CHECK(
        require(!contains(list, keyOf(wanted)), kind, keyOf(wanted), "a new " + std::string{kind}));
    return put(target, list, wanted, kind);
}

template <typename List>
checked remove(const edit &target, List &list, const std::string &key, std::string_view kind)
{
    BOOST_LEAF_AUTO(found, checkExists(target, list, key, kind));
    list.erase(found);
    return {};
}

checked putPool(const edit &target)
{
    return put(target, *target.document().mutable_pools(), target.change.put_pool(), "pool");
}

checked removePool(const edit &target)
{
    const std::string &name = target.change.remove_pool();
    BOOST_LEAF_CHECK(checkUnusedPool(target.document(), name));
    return remove(target, *target.document().mutable_pools(), name, "pool");
}

checked putQueue(const edit &target)
{
    return put(target, *target.document().mutable_queues(), target.change.put_queue(), "queue");
}

checked removeQueue(const edit &target)
{
    return remove(target, *target.document().mutable_queues(), target.change.remove_queue(),
                  "queue");
}

checked putTeam(const edit &target)
{
    return put(target, *target.document().mutable_teams(), target.change.put_team(), "team");
}

checked removeTeam(const edit &target)
{
    const std::string &name = target.change.remove_team();
    BOOST_LEAF_CHECK(checkUnusedTeam(target.document(), name));
    return remove(target, *target.document().mutable_teams(), name, "team");
}

checked addKey(const edit &target)
{
    return add(target, *target.document().mutable_keys(), target.change.add_key(), "key");
}

checked withdrawKey(const edit &target)
{
    return remove(target, *target.document().mutable_keys(), target.change.withdraw_key(), "key");
}

checked setZone(const edit &target, const std::string &name, bool out)
{
    BOOST_LEAF_CHECK(checkName("zone", name));
    auto &zones = *target.document().mutable_zones();
    target.result.record.set_entity("zone/" + name);
    auto found = findEntity(zones, name);
    const bool exists = found != zones.end();
    BOOST_LEAF_CHECK(checkGeneration(target, exists ? found->generation() : 0));
    if (exists)
        setBefore(target, *found);
    wire::availability_zone &zone = exists ? *found : *zones.Add();
    zone.set_name(name);
    zone.set_out(out);
    setAfter(target, zone);
    return {};
}

checked zoneOut(const edit &target)
{
    return setZone(target, target.change.zone_out(), true);
}

checked zoneIn(const edit &target)
{
    return setZone(target, target.change.zone_in(), false);
}

checked setPreferences(const edit &target)
{
    wire::preference wanted = target.change.set_preferences();
    wire::config_document &document = target.document();
    target.result.record.set_entity("preferences");
    BOOST_LEAF_CHECK(checkGeneration(target, document.preferences().generation()));
    BOOST_LEAF_CHECK(check(document, wanted));
    if (document.has_preferences())
        setBefore(target, document.preferences());
    setAfter(target, wanted);
    *document.mutable_preferences() = std::move(wanted);
    return {};
}

checked startWave(const edit &target)
{
    auto &waves = *target.document().mutable_waves();
    const auto stopped = std::find_if(waves.begin(), waves.end(),
                                      [](const wire::wave &wave) { return wave.stopped(); });
    if (waves.size() >= maximumWaves && stopped != waves.end())
        waves.erase(stopped);
    BOOST_LEAF_CHECK(require(waves.size() < maximumWaves, "waves", std::to_string(waves.size()),
                             "at most 64 that are not stopped; stop one first"));
    return add(target, waves, target.change.start_wave(), "wave");
}

/** A wave that has paused itself goes on once its generation has changed. */
checked resumeWave(const edit &target)
{
    const std::string &id = target.change.resume_wave();
    BOOST_LEAF_AUTO(found, checkExists(target, *target.document().mutable_waves(), id, "wave"));
    BOOST_LEAF_CHECK(require(!found->stopped(), "wave", id, "a wave that is not stopped"));
    setAfter(target, *found);
    return {};
}

checked stopWave(const edit &target)
{
    const std::string &id = target.change.stop_wave();
    BOOST_LEAF_AUTO(found, checkExists(target, *target.document().mutable_waves(), id, "wave"));
    BOOST_LEAF_CHECK(require(!found->stopped(), "wave", id, "a wave that is not stopped"));
    found->set_stopped(true);
    setAfter(target, *found);
    return {};
}

checked orderMove(const edit &target)
{
    auto &orders = *target.document().mutable_moves();
    BOOST_LEAF_CHECK(put(target, orders, target.change.order_move(), "move"));
    if (orders.size() > maximumMoveOrders) {
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

void beginRecord(applied_change &result, const wire::change &change, std::string_view verb)
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
    BOOST_LEAF_CHECK(checkOrigin(change));
    BOOST_LEAF_AUTO(verb, findVerb(change));
    applied_change result;
    result.document = document;
    result.document.set_generation(document.generation() + 1);
    beginRecord(result, change, verb->name);
    BOOST_LEAF_CHECK(verb->apply(edit{change, result}));
    const std::size_t bytes = result.document.ByteSizeLong();
    BOOST_LEAF_CHECK(require(bytes <= maximumDocumentBytes, "document",
                             std::to_string(bytes) + " bytes", "at most 900000 bytes"));
    return result;
}

} // namespace azurelb
