#include "running_fleet.hpp"

#include <azurelb/config/secret_digest.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/store/etcd_codec.hpp>
#include <azurelb/store/transaction.hpp>
#include <azurelb/wire/fleet.pb.h>
#include <azurelb/wire/platform.pb.h>

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace azurelb::test {

namespace {

namespace http = boost::beast::http;
namespace json = google::protobuf::util;

constexpr std::array zones{"milano", "bergamo", "verona", "trento"};
constexpr unsigned http11{11};

std::string toJson(const google::protobuf::Message &message)
{
    std::string text;
    (void)json::MessageToJsonString(message, &text);
    return text;
}

std::string zoneOf(std::size_t index)
{
    return zones.at(index % zones.size());
}

std::string vmOf(std::size_t index)
{
    return "vm-" + std::to_string(index);
}

std::string entryOf(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

operator_answer exchange(const boost::asio::ip::tcp::endpoint &server,
                         caller_client::request message)
{
    caller_client client{server};
    const call_answer answer = client.send(std::move(message));
    return {answer.status(), answer.response.body()};
}

wire::change queueChange(const std::string &name, bool open, bool idempotent)
{
    wire::change made;
    made.mutable_put_queue()->set_name(name);
    made.mutable_put_queue()->set_pool("seating");
    made.mutable_put_queue()->set_open(open);
    made.mutable_put_queue()->set_idempotent(idempotent);
    return made;
}

} // namespace

running_fleet::running_fleet(fleet_options options)
    : m_options{std::move(options)}
    , m_store{"store"}
    , m_platform{"platform"}
    , m_executors{"executor",
                  {"--ports=" + std::to_string(m_options.executors),
                   "--slots=" + std::to_string(m_options.slots),
                   "--run_ms=" + std::to_string(m_options.runDuration.count())}}
    , m_daemons(m_options.daemons)
{
    startForwarders();
    publishVms();
    storeFleetDocument();
    for (std::size_t index = 0; index < size(); ++index)
        restart(index);
    configure();
}

void running_fleet::restart(std::size_t index)
{
    daemon_entry &entry = m_daemons.at(index);
    entry.process.reset();
    entry.process = std::make_unique<child_process>(
        builtProgram("azurelbd"), flagsOf(index),
        child_process::string_list{"AZURELB_OPERATOR_TOKENS=anna:" + m_token});
}

bool running_fleet::isReady(std::size_t index) const
{
    constexpr unsigned ok = 200;
    return get(index, "/readyz").status == ok;
}

wire::status running_fleet::status(std::size_t index) const
{
    wire::status read;
    (void)json::JsonStringToMessage(get(index, "/v1/status").body, &read);
    return read;
}

operator_answer running_fleet::change(std::size_t index, wire::change wanted)
{
    if (wanted.id().empty())
        wanted.set_id("change-" + std::to_string(++m_changes));
    caller_client::request message{http::verb::post, "/v1/changes", http11, toJson(wanted)};
    message.set(http::field::authorization, "Bearer " + m_token);
    return exchange(m_daemons.at(index).operators.address(), std::move(message));
}

operator_answer running_fleet::get(std::size_t index, const std::string &path) const
{
    caller_client::request message{http::verb::get, path, http11};
    message.set(http::field::authorization, "Bearer " + m_token);
    return exchange(m_daemons.at(index).operators.address(), std::move(message));
}

bool running_fleet::waitForGeneration(std::uint64_t generation,
                                      const std::vector<std::size_t> &daemons)
{
    return eventually([&] {
        return std::all_of(daemons.begin(), daemons.end(), [&](std::size_t index) {
            return status(index).config_generation() >= generation;
        });
    });
}

running_fleet::endpoint running_fleet::callerAddress(std::size_t index) const
{
    return m_daemons.at(index).callers.address();
}

call running_fleet::makeCall(std::string queue, std::string id) const
{
    call made;
    made.queue = std::move(queue);
    made.key = m_key;
    made.id = std::move(id);
    if (!made.id.empty())
        made.body = R"({"id":")" + made.id + "\"}";
    return made;
}

call_answer running_fleet::send(std::size_t index, const call &request) const
{
    caller_client client{callerAddress(index)};
    return client.send(request);
}

running_fleet::run_counts running_fleet::runs()
{
    run_counts total;
    for (std::size_t index = 0; index < m_options.executors; ++index) {
        const wire::standin::run_counts counted = m_executors.runs(index);
        for (const auto &[id, count] : counted.runs())
            total[id] += count;
    }
    return total;
}

std::uint32_t running_fleet::running()
{
    std::uint32_t total = 0;
    for (std::size_t index = 0; index < m_options.executors; ++index)
        total += m_executors.status(index).running();
    return total;
}

std::vector<std::string> running_fleet::flagsOf(std::size_t index) const
{
    const daemon_entry &entry = m_daemons.at(index);
    std::vector<std::string> flags{
        "--vm_id=" + entryOf(index),
        "--zone=" + zoneOf(index),
        "--listen=" + entry.callers.text(),
        "--operator_listen=" + entry.operators.text(),
        "--peer_listen=" + entry.peers.text(),
        "--store_endpoints=" + toString(m_store.address()),
        "--platform_endpoint=" + toString(m_platform.address()),
        "--entry_vms=" + std::to_string(size()),
        "--drain_delay_ms=300",
    };
    flags.insert(flags.end(), m_options.daemonFlags.begin(), m_options.daemonFlags.end());
    return flags;
}

void running_fleet::startForwarders()
{
    for (std::size_t index = 0; m_options.forwarders && index < m_options.executors; ++index)
        m_forwarders.push_back(std::make_unique<standin_process>(
            "forwarder",
            std::vector<std::string>{"--target=" + toString(m_executors.address(index))}));
}

void running_fleet::publishVms()
{
    wire::vm_list list;
    for (std::size_t index = 0; index < m_options.executors; ++index) {
        wire::listed_vm &vm = *list.add_vms();
        vm.set_id(vmOf(index));
        vm.set_address(toString(m_options.forwarders ? forwarder(index).address()
                                                     : m_executors.address(index)));
        vm.set_zone(zoneOf(index));
        vm.set_rack("rack-" + std::to_string(index / zones.size()));
        vm.set_boot_id("boot-0");
        vm.set_slots(m_options.slots);
    }
    for (std::size_t index = 0; index < size(); ++index) {
        wire::listed_vm &vm = *list.add_vms();
        vm.set_id(entryOf(index));
        vm.set_address(m_daemons[index].peers.text());
        vm.set_zone(zoneOf(index));
        vm.set_entry(true);
    }
    m_platform.control("vms", toJson(list));
}

void running_fleet::storeFleetDocument()
{
    wire::fleet_document document;
    for (std::size_t index = 0; index < m_options.executors; ++index) {
        wire::fleet_vm &vm = *document.add_vms();
        vm.set_id(vmOf(index));
        vm.set_pool("seating");
        vm.set_zone(zoneOf(index));
        vm.set_rack("rack-" + std::to_string(index / zones.size()));
        vm.set_boot_id("boot-0");
    }
    wire::etcd::txn_request transaction;
    putOnSuccess(transaction, "/azurelb/fleet", document.SerializeAsString());
    const std::string body = azurelb::internal::encodeTransaction(transaction);
    caller_client::request message{http::verb::post, "/v3/kv/txn", http11, body};
    constexpr unsigned ok = 200;
    if (exchange(m_store.address(), std::move(message)).status != ok)
        throw std::runtime_error{"the store rejected the fleet document"};
}

void running_fleet::configure()
{
    if (!eventually([this] { return isReady(0); }))
        throw std::runtime_error{"the first daemon did not become ready"};
    wire::change pool;
    pool.mutable_put_pool()->set_name("seating");
    pool.mutable_put_pool()->set_minimum_vms(static_cast<std::uint32_t>(m_options.executors));
    pool.mutable_put_pool()->set_maximum_vms(static_cast<std::uint32_t>(m_options.executors));
    pool.mutable_put_pool()->set_unavailable_vms(
        static_cast<std::uint32_t>(m_options.executors - 1));
    applyChange(pool);
    applyChange(queueChange("plan", false, true));
    applyChange(queueChange("order", false, false));
    applyChange(queueChange("open", true, true));
    wire::change team;
    team.mutable_put_team()->set_name("lecco");
    team.mutable_put_team()->set_share(1);
    team.mutable_put_team()->set_limit(m_options.teamLimit);
    applyChange(team);
    wire::change key;
    key.mutable_add_key()->set_id("key-0");
    key.mutable_add_key()->set_team("lecco");
    key.mutable_add_key()->set_digest(secretDigest(m_key));
    applyChange(key);
    const bool complete = eventually([this] {
        for (std::size_t index = 0; index < size(); ++index) {
            const wire::status seen = status(index);
            const auto &queues = seen.queues();
            if (!isReady(index) || seen.members_size() != static_cast<int>(size())
                || queues.size() != 3 || queues[0].upstreams() != m_options.executors)
                return false;
        }
        return true;
    });
    if (!complete)
        throw std::runtime_error{"the daemons did not discover the whole fleet"};
}

void running_fleet::applyChange(const wire::change &wanted)
{
    constexpr unsigned ok = 200;
    const operator_answer answer = change(0, wanted);
    if (answer.status != ok)
        throw std::runtime_error{"change refused: " + answer.body};
}

} // namespace azurelb::test
