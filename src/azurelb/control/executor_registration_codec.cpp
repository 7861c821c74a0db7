#include <azurelb/control/executor_registration_codec.hpp>
#include <azurelb/http/endpoint.hpp>
#include <azurelb/scheduling/executor_registration.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <cstddef>

namespace azurelb {

namespace json = boost::json;

namespace {

/** Longest key of the store. */
constexpr std::size_t maxNameBytes{200};

/** Returns whether the text may stand in a header field without being changed or split. */
bool isHeaderText(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(),
                       [](char each) { return each > ' ' && each <= '~'; });
}

} // namespace

bool isWellFormed(const executor_registration &info)
{
    const auto fits = [](const std::string &name) {
        return name.size() <= maxNameBytes;
    };
    return !info.id.empty() && isHeaderText(info.id) && isPeerAddress(info.address) && fits(info.id)
        && fits(info.pool) && fits(info.zone) && fits(info.vm)
        && std::all_of(info.labels.begin(), info.labels.end(), fits);
}

std::string encodeRegistration(const executor_registration &info)
{
    json::object record{{"id", info.id},     {"address", info.address},
                        {"pool", info.pool}, {"zone", info.zone},
                        {"vm", info.vm},     {"born", info.startedUnixMs}};
    if (info.hasRestarted)
        record["restarted"] = true;
    return json::serialize(record);
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
    if (born && !born->is_int64())
        return std::nullopt;
    info.startedUnixMs = born ? born->get_int64() : 0;
    const json::value *const restarted = in.if_contains("restarted");
    info.hasRestarted = restarted && *restarted == json::value(true);
    if (!isWellFormed(info))
        return std::nullopt;
    return info;
}

} // namespace azurelb
