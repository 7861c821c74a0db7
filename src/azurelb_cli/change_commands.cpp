#include <azurelb/config/secret_digest.hpp>
#include <azurelb/core/digest.hpp>
#include <azurelb/core/split_list.hpp>
#include <azurelb_cli/call_result.hpp>
#include <azurelb_cli/change_commands.hpp>
#include <azurelb_cli/command_error.hpp>
#include <azurelb_cli/daemon_client.hpp>
#include <azurelb_cli/flags.hpp>
#include <azurelb_cli/json_messages.hpp>

#include <google/protobuf/util/json_util.h>
#include <openssl/rand.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace azurelb::cli {

namespace {

std::string randomHex(std::size_t byteCount)
{
    std::string bytes(byteCount, '\0');
    auto *const data = reinterpret_cast<unsigned char *>(bytes.data());
    if (RAND_bytes(data, static_cast<int>(byteCount)) != 1)
        throw command_error{exit_code::refused, "the system's random number generator failed"};
    return toHex(bytes);
}

wire::change newChange()
{
    constexpr std::size_t idBytes = 16;
    wire::change change;
    change.set_id(randomHex(idBytes));
    change.set_force(FLAGS_force);
    return change;
}

void print(const wire::change_result &result)
{
    if (FLAGS_json) {
        printJson(result);
        return;
    }
    std::cout << "done: change " << result.generation() << " is committed, in force on "
              << result.in_force_on() << " of " << result.members() << " daemons\n";
    for (const std::string &cost : result.costs())
        std::cout << "cost: " << cost << '\n';
}

void submit(const daemon_client &client, const wire::change &change)
{
    std::string body;
    (void)google::protobuf::util::MessageToJsonString(change, &body);
    wire::change_result result;
    parseResponse(client.postIdempotent("/v1/changes", body), result);
    print(result);
}

/** The entity with that name, or a new one with that name and generation 0. */
template <typename Entity>
Entity findOrMake(const google::protobuf::RepeatedPtrField<Entity> &list, const std::string &name)
{
    const auto named = [&name](const Entity &each) {
        return each.name() == name;
    };
    const auto found = std::find_if(list.begin(), list.end(), named);
    if (found != list.end())
        return *found;
    Entity entity;
    entity.set_name(name);
    return entity;
}

/** Sets the field if its flag is given. */
template <typename Entity, typename Value>
void setIfGiven(Entity &entity, void (Entity::*set)(Value), const char *flag, Value value)
{
    if (isGiven(flag))
        (entity.*set)(value);
}

std::string readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
        throw command_error{exit_code::usage, "cannot read the file " + path};
    return {std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

} // namespace

void setPool(const daemon_client &client, const command_words &arguments)
{
    wire::pool pool = findOrMake(fetchConfig(client).pools(), arguments[0]);
    setIfGiven(pool, &wire::pool::set_minimum_vms, "minimum", FLAGS_minimum);
    setIfGiven(pool, &wire::pool::set_maximum_vms, "maximum", FLAGS_maximum);
    setIfGiven(pool, &wire::pool::set_unavailable_vms, "unavailable", FLAGS_unavailable);
    setIfGiven(pool, &wire::pool::set_spare, "spare", FLAGS_spare);
    wire::change change = newChange();
    change.set_expected_generation(pool.generation());
    *change.mutable_put_pool() = pool;
    submit(client, change);
}

void removePool(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_remove_pool(arguments[0]);
    submit(client, change);
}

void setQueue(const daemon_client &client, const command_words &arguments)
{
    wire::queue queue = findOrMake(fetchConfig(client).queues(), arguments[0]);
    if (isGiven("pool"))
        queue.set_pool(FLAGS_pool);
    setIfGiven(queue, &wire::queue::set_open, "open", FLAGS_open);
    setIfGiven(queue, &wire::queue::set_idempotent, "idempotent", FLAGS_idempotent);
    wire::change change = newChange();
    change.set_expected_generation(queue.generation());
    *change.mutable_put_queue() = queue;
    submit(client, change);
}

void removeQueue(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_remove_queue(arguments[0]);
    submit(client, change);
}

void setTarget(const daemon_client &client, const command_words &arguments)
{
    wire::queue queue = findOrMake(fetchConfig(client).queues(), arguments[0]);
    if (queue.generation() == 0)
        throw command_error{exit_code::refused, "there is no queue " + arguments[0]};
    queue.mutable_target()->set_wait_ms(FLAGS_wait_ms);
    queue.mutable_target()->set_percentile(FLAGS_percentile);
    wire::change change = newChange();
    change.set_expected_generation(queue.generation());
    *change.mutable_put_queue() = queue;
    submit(client, change);
}

void setTeam(const daemon_client &client, const command_words &arguments)
{
    wire::team team = findOrMake(fetchConfig(client).teams(), arguments[0]);
    setIfGiven(team, &wire::team::set_share, "share", FLAGS_share);
    setIfGiven(team, &wire::team::set_limit, "limit", FLAGS_limit);
    wire::change change = newChange();
    change.set_expected_generation(team.generation());
    *change.mutable_put_team() = team;
    submit(client, change);
}

void removeTeam(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_remove_team(arguments[0]);
    submit(client, change);
}

void createKey(const daemon_client &client, const command_words &arguments)
{
    constexpr std::size_t idBytes = 6;
    constexpr std::size_t secretBytes = 32;
    const std::string secret = "alb-" + randomHex(secretBytes);
    wire::change change = newChange();
    wire::team_key &key = *change.mutable_add_key();
    key.set_id("key-" + randomHex(idBytes));
    key.set_team(arguments[0]);
    key.set_digest(secretDigest(secret));
    submit(client, change);
    std::cout << "key id: " << key.id() << "\nkey, shown only now: " << secret << '\n';
}

void withdrawKey(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_withdraw_key(arguments[0]);
    submit(client, change);
}

void takeZoneOutOfService(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_zone_out(arguments[0]);
    submit(client, change);
}

void returnZoneToService(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_zone_in(arguments[0]);
    submit(client, change);
}

void setPreferences(const daemon_client &client, const command_words &)
{
    const wire::config_document config = fetchConfig(client);
    wire::preference preference = config.preferences();
    setIfGiven(preference, &wire::preference::set_share, "weigh_share", FLAGS_weigh_share);
    setIfGiven(preference, &wire::preference::set_outage_work, "weigh_outage", FLAGS_weigh_outage);
    setIfGiven(preference, &wire::preference::set_buffer_cost, "weigh_buffer", FLAGS_weigh_buffer);
    setIfGiven(preference, &wire::preference::set_moves, "weigh_moves", FLAGS_weigh_moves);
    wire::change change = newChange();
    change.set_expected_generation(preference.generation());
    *change.mutable_set_preferences() = preference;
    submit(client, change);
}

void startWave(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.mutable_start_wave()->set_id(arguments[0]);
    for (const std::string &pool : splitList(FLAGS_pools))
        change.mutable_start_wave()->add_pools(pool);
    submit(client, change);
}

void resumeWave(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_resume_wave(arguments[0]);
    submit(client, change);
}

void stopWave(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.set_stop_wave(arguments[0]);
    submit(client, change);
}

void orderMove(const daemon_client &client, const command_words &arguments)
{
    wire::change change = newChange();
    change.mutable_order_move()->set_vm(arguments[0]);
    change.mutable_order_move()->set_pool(arguments[1]);
    submit(client, change);
}

void submitRequest(const daemon_client &client, const command_words &arguments)
{
    const std::string path = "/v1/queues/" + arguments[0];
    const std::string body = readFile(arguments[1]);
    const call_result answer = client.postAtMostOnce(path, body, FLAGS_idempotency_key);
    requireSuccess(answer);
    std::cout << answer.body;
}

} // namespace azurelb::cli
