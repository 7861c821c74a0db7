#pragma once

#include "mode.hpp"

#include <azurelb/wire/platform.pb.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>

namespace azurelb::standin {

/** How the platform behaves. */
struct platform_options
{
    std::chrono::milliseconds rebootTime{};
    std::chrono::milliseconds lag{};
};

/** The platform's list of VMs and their controls. */
class platform_mode final : public mode
{
public:
    platform_mode(asio::io_context &loop, platform_options options, wire::vm_list vms);

    void answer(const request &req, answer_handler done) override;

    /** POST vms sets the list; GET vms shows the present one, without any lag. */
    [[nodiscard]] response control(std::string_view path, const request &req) override;

private:
    using time_point = std::chrono::steady_clock::time_point;
    using action = void (platform_mode::*)(wire::listed_vm &);

    /** The list as it was from that time on. */
    struct version
    {
        time_point since;
        std::uint64_t number{};
        wire::vm_list vms;
    };

    [[nodiscard]] response list(const request &req);
    [[nodiscard]] response handleAction(std::string_view path);
    void drain(wire::listed_vm &vm);
    void reboot(wire::listed_vm &vm);
    void finishReboot(const std::string &id);
    [[nodiscard]] wire::listed_vm *findVm(wire::vm_list &vms, std::string_view id);
    [[nodiscard]] const version &servedVersion();
    void publish(wire::vm_list vms);

    asio::io_context &m_loop;
    platform_options m_options;
    std::deque<version> m_versions;
    std::uint64_t m_boots{0};
};

} // namespace azurelb::standin
