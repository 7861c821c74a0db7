#include <azurelb/core/steady_clock_source.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/store/etcd_store.hpp>
#include <azurelb/store/store_reply.hpp>
#include <azurelb/wire/fleet.pb.h>
#include <azurelb_bench/flags.hpp>
#include <azurelb_bench/scenarios.hpp>

#include <sstream>

namespace azurelb::bench {

namespace {

wire::fleet_document parseFleet()
{
    wire::fleet_document document;
    std::istringstream vms{FLAGS_fleet};
    for (std::string text; std::getline(vms, text, ',');) {
        std::istringstream parts{text};
        auto &vm = *document.add_vms();
        std::getline(parts, *vm.mutable_id(), '/');
        std::getline(parts, *vm.mutable_pool(), '/');
        std::getline(parts, *vm.mutable_zone(), '/');
        std::getline(parts, *vm.mutable_rack(), '/');
        vm.set_boot_id("b");
    }
    return document;
}

} // namespace

void seedFleet()
{
    const auto endpoint = parseEndpoint(FLAGS_stores);
    if (!endpoint)
        throw usage_error{"--stores must be one IP:PORT"};
    boost::asio::io_context loop;
    steady_clock_source clock;
    etcd_store client{loop, clock, {{*endpoint}}};
    wire::etcd::txn_request request;
    auto &put = *request.add_success()->mutable_request_put();
    put.set_key("/azurelb/fleet");
    put.set_value(parseFleet().SerializeAsString());
    bool written = false;
    client.commit(request, std::chrono::seconds{10}, [&](const store_reply &reply) {
        written = reply.error == store_error::none;
        loop.stop();
    });
    loop.run();
    if (!written)
        throw usage_error{"the store at --stores did not accept the document"};
}

} // namespace azurelb::bench
