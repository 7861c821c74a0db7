#include <azurelb/control/executor_registration_codec.hpp>
#include <azurelb/scheduling/executor_registration.hpp>

#include <boost/json.hpp>

namespace azurelb {

namespace json = boost::json;

std::string encodeRegistration(const executor_registration &info)
{
    return json::serialize(json::object{{"id", info.id},
                                        {"address", info.address},
                                        {"pool", info.pool},
                                        {"zone", info.zone},
                                        {"vm", info.vm},
                                        {"born", info.startedUnixMs}});
}

std::optional<executor_registration> decodeRegistration(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    const json::object &in = parsed.get_object();
    const auto textOf = [&in](std::string_view name) {
        const json::value *const found = in.if_contains(name);
        return found && found->is_string() ? std::string{found->get_string()} : std::string{};
    };
    executor_registration info;
    info.id = textOf("id");
    info.address = textOf("address");
    info.pool = textOf("pool");
    info.zone = textOf("zone");
    info.vm = textOf("vm");
    const json::value *const born = in.if_contains("born");
    info.startedUnixMs = born && born->is_int64() ? born->get_int64() : 0;
    if (info.id.empty() || info.address.empty())
        return std::nullopt;
    return info;
}

} // namespace azurelb
