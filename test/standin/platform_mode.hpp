#pragma once

#include "mode.hpp"

#include <azurelb/wire/platform.pb.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>

namespace azurelb::standin {

/** Timing of the simulated platform. */
struct platform_options
{
    std::chrono::milliseconds rebootTime{};
    std::chrono::milliseconds lag{};
};

/** Simulates the platform's VM list and the drain and reboot operations. */
class platform_mode final : public mode
{
public:
    platform_mode(asio::io_context &loop, platform_options options, wire::vm_list vms);

    void answer(const request &req, answer_handler done) override;

    /** POST vms replaces the list; GET vms returns the current list, regardless of the lag. */
    [[nodiscard]] response control(std::string_view path, const request &req) override;

private:
    using time_point = std::chrono::steady_clock::time_point;
    using action = void (platform_mode::*)(wire::listed_vm &);

    /** A version of the list, valid from the time "since". */
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
