#pragma once

#include <azurelb/core/identifier.hpp>
#include <azurelb/http/http_client.hpp>
#include <azurelb/platform/platform_options.hpp>
#include <azurelb/platform/vm_controls.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <string>

namespace azurelb {

/** Sends requests to the platform over HTTP, one at a time on one connection. */
class http_vm_controls final : public vm_controls
{
public:
    http_vm_controls(boost::asio::io_context &loop, const platform_options &options);

    void start(kernel &) override { }
    void stop() noexcept override;

    void drain(const vm_id &vm, control_handler done) override;
    void reboot(const vm_id &vm, control_handler done) override;

private:
    struct pending_request
    {
        std::string path;
        control_handler done;
    };

    void enqueue(const vm_id &vm, std::string_view verb, control_handler done);
    void sendNext();
    void handleOutcome(const http_outcome &outcome);

    platform_options m_options;
    http_client m_client;
    /** The first is in flight. */
    std::deque<pending_request> m_requests;
};

} // namespace azurelb
