#include "support/run_until.hpp"

#include <azurelb/core/steady_clock_source.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/peer/nng_transport.hpp>
#include <azurelb/store/etcd_store.hpp>
#include <azurelb/store/store_reply.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <stdexcept>

#include <sys/resource.h>

DEFINE_string(what, "peer", "peer: nng transport; store: etcd store at --store");
DEFINE_string(store, "", "address of the store");
DEFINE_int32(seconds, 5, "duration of the measurement");
DEFINE_int32(rate, 0, "peer: messages per second; 0 for no limit");
DEFINE_int32(bytes, 200, "size of a message or value in bytes");
DEFINE_int32(parallel, 1, "store: number of concurrent calls");

namespace {

using namespace azurelb;
using clock_type = std::chrono::steady_clock;

/** CPU time used by all threads of this process. */
std::chrono::microseconds processorTime()
{
    rusage used{};
    (void)getrusage(RUSAGE_SELF, &used);
    const auto toTime = [](const timeval &value) {
        return std::chrono::seconds{value.tv_sec} + std::chrono::microseconds{value.tv_usec};
    };
    return toTime(used.ru_utime) + toTime(used.ru_stime);
}

/** Calls step in a loop for --seconds; prints the rate and CPU time per counted event. */
void measure(boost::asio::io_context &loop, const std::function<std::uint64_t()> &counted,
             const std::function<void()> &step)
{
    const auto work = boost::asio::make_work_guard(loop);
    const std::chrono::milliseconds pause{FLAGS_rate > 0 ? std::max(1, 1000 / FLAGS_rate) : 1};
    const auto start = clock_type::now();
    const auto startTime = processorTime();
    const auto startCount = counted();
    const auto end = start + std::chrono::seconds{FLAGS_seconds};
    while (clock_type::now() < end) {
        step();
        loop.restart();
        loop.run_one_for(pause);
        loop.poll();
    }
    const std::chrono::duration<double> elapsed = clock_type::now() - start;
    const std::chrono::duration<double, std::micro> used = processorTime() - startTime;
    const auto count = static_cast<double>(counted() - startCount);
    std::cout << std::fixed << std::setprecision(1) << count / elapsed.count() << " a second, "
              << used.count() / std::max(count, 1.0) << " us of processor time each, "
              << used.count() / elapsed.count() / 1e4 << " % of a core\n";
}

void measurePeer()
{
    const vm_id receiverName{"receiver"};
    boost::asio::io_context loop;
    nng_transport receiver{loop, {receiverName, incarnation{1}, "127.0.0.1:0"}};
    nng_transport sender{loop, {vm_id{"sender"}, incarnation{2}, "127.0.0.1:0"}};
    receiver.subscribe("bench", [](const wire::envelope &) {});
    receiver.start();
    sender.setPeers({{receiverName, "127.0.0.1:" + std::to_string(receiver.port())}});
    wire::envelope message;
    message.set_payload(std::string(static_cast<std::size_t>(FLAGS_bytes), 'a'));
    const auto received = [&receiver] {
        return receiver.counters().messagesReceived;
    };
    sender.send(receiverName, "bench", message);
    (void)test::runUntil(loop, [&received] { return received() > 0; });
    const auto start = clock_type::now();
    std::uint64_t sent = 0;
    measure(loop, received, [&] {
        constexpr std::uint64_t burst = 32;
        const std::chrono::duration<double> elapsed = clock_type::now() - start;
        const auto due = FLAGS_rate > 0 ? static_cast<std::uint64_t>(elapsed.count() * FLAGS_rate)
                                        : received() + burst;
        for (; sent < due; ++sent)
            sender.send(receiverName, "bench", message);
    });
    std::cout << "not sent: " << sender.counters().messagesNotSent << ", bytes on the wire each: "
              << sender.counters().bytesSent / sender.counters().messagesSent << '\n';
}

void measureStore()
{
    const auto endpoint = parseEndpoint(FLAGS_store);
    if (!endpoint)
        throw std::invalid_argument{"--store must be IP:PORT"};
    boost::asio::io_context loop;
    steady_clock_source clock;
    etcd_store client{loop, clock, {{*endpoint}}};
    wire::etcd::txn_request request;
    request.add_success()->mutable_request_range()->set_key("key");
    auto &put = *request.add_success()->mutable_request_put();
    put.set_key("key");
    put.set_value(std::string(static_cast<std::size_t>(FLAGS_bytes), 'a'));
    std::uint64_t succeeded = 0;
    int callsInFlight = 0;
    measure(
        loop, [&succeeded] { return succeeded; },
        [&] {
            for (; callsInFlight < FLAGS_parallel; ++callsInFlight) {
                client.commit(request, std::chrono::seconds{5}, [&](const store_reply &reply) {
                    succeeded += reply.error == store_error::none;
                    --callsInFlight;
                });
            }
        });
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the peer transport and the store client on loopback");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        if (FLAGS_what == "store")
            measureStore();
        else
            measurePeer();
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
    return 0;
}
