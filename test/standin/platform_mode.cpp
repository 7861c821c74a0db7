#include "platform_mode.hpp"
#include "json.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <memory>

namespace azurelb::standin {

namespace {

constexpr std::string_view listPath{"/v1/vms"};

} // namespace

platform_mode::platform_mode(asio::io_context &loop, platform_options options, wire::vm_list vms)
    : m_loop{loop}
    , m_options{options}
{
    publish(std::move(vms));
    m_versions.back().since = {};
}

void platform_mode::answer(const request &req, answer_handler done)
{
    const std::string_view target{req.target().data(), req.target().size()};
    if (target == listPath && req.method() == http::verb::get)
        done(list(req));
    else if (target.starts_with(listPath) && req.method() == http::verb::post)
        done(handleAction(target.substr(listPath.size())));
    else
        done(makeResponse(http::status::not_found, "{}"));
}

response platform_mode::control(std::string_view path, const request &req)
{
    if (path != "vms")
        return mode::control(path, req);
    if (req.method() == http::verb::post) {
        wire::vm_list wanted;
        if (!fromJson(req.body(), wanted))
            return makeResponse(http::status::bad_request, R"({"error":"invalid VM list"})");
        publish(std::move(wanted));
    }
    return makeResponse(http::status::ok, toJson(m_versions.back().vms));
}

response platform_mode::list(const request &req)
{
    const version &current = servedVersion();
    const std::string tag = '"' + std::to_string(current.number) + '"';
    const bool unchanged = req[http::field::if_none_match] == tag;
    response answer = unchanged ? makeResponse(http::status::not_modified, {})
                                : makeResponse(http::status::ok, toJson(current.vms));
    answer.set(http::field::etag, tag);
    return answer;
}

response platform_mode::handleAction(std::string_view path)
{
    struct named_action
    {
        std::string_view suffix;
        action run;
    };
    static constexpr std::array<named_action, 2> actions{
        {{"/drain", &platform_mode::drain}, {"/reboot", &platform_mode::reboot}}};
    const auto found = std::find_if(actions.begin(), actions.end(), [path](const auto &each) {
        return path.starts_with('/') && path.ends_with(each.suffix);
    });
    if (found == actions.end())
        return makeResponse(http::status::not_found, "{}");
    wire::vm_list changed = m_versions.back().vms;
    const auto id = path.substr(1, path.size() - found->suffix.size() - 1);
    wire::listed_vm *vm = findVm(changed, id);
    if (!vm)
        return makeResponse(http::status::not_found, R"({"title":"no such VM","status":404})");
    (this->*found->run)(*vm);
    publish(std::move(changed));
    return makeResponse(http::status::accepted, "{}");
}

void platform_mode::drain(wire::listed_vm &vm)
{
    vm.set_phase(wire::VM_PHASE_LEAVING);
}

void platform_mode::reboot(wire::listed_vm &vm)
{
    vm.set_phase(wire::VM_PHASE_REBOOTING);
    if (fault().reboots_lost() > 0) {
        fault().set_reboots_lost(fault().reboots_lost() - 1);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop, m_options.rebootTime);
    timer->async_wait([this, timer, id = vm.id()](boost::system::error_code error) {
        if (!error)
            finishReboot(id);
    });
}

void platform_mode::finishReboot(const std::string &id)
{
    wire::vm_list changed = m_versions.back().vms;
    wire::listed_vm *vm = findVm(changed, id);
    if (!vm || vm->phase() != wire::VM_PHASE_REBOOTING)
        return;
    vm->set_phase(wire::VM_PHASE_LIVE);
    vm->set_boot_id("boot-" + std::to_string(++m_boots));
    publish(std::move(changed));
}

wire::listed_vm *platform_mode::findVm(wire::vm_list &vms, std::string_view id)
{
    auto &all = *vms.mutable_vms();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [id](const wire::listed_vm &each) { return each.id() == id; });
    return found == all.end() ? nullptr : &*found;
}

const platform_mode::version &platform_mode::servedVersion()
{
    const std::chrono::milliseconds faultLag{fault().lag_ms()};
    const auto seen = std::chrono::steady_clock::now() - std::max(m_options.lag, faultLag);
    const auto newest = std::find_if(m_versions.rbegin(), m_versions.rend(),
                                     [seen](const version &each) { return each.since <= seen; });
    return newest == m_versions.rend() ? m_versions.front() : *newest;
}

void platform_mode::publish(wire::vm_list vms)
{
    constexpr std::size_t maxVersions = 4096;
    const std::uint64_t number = m_versions.empty() ? 1 : m_versions.back().number + 1;
    m_versions.push_back({std::chrono::steady_clock::now(), number, std::move(vms)});
    if (m_versions.size() > maxVersions)
        m_versions.pop_front();
}

} // namespace azurelb::standin
