#include <azurelb/capacity/wave_progress.hpp>

#include <boost/json.hpp>

namespace azurelb {

namespace json = boost::json;

std::string encodeWaveProgress(std::int64_t number, const wave_progress &progress)
{
    json::array finished;
    for (const std::string &each : progress.finished)
        finished.emplace_back(each);
    return json::serialize(json::object{{"wave", number},
                                        {"finished", std::move(finished)},
                                        {"deadline_ms", progress.deadlineUnix.count()}});
}

numbered_wave_progress decodeWaveProgress(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    const json::object *const in = failure ? nullptr : parsed.if_object();
    const json::value *const number = in ? in->if_contains("wave") : nullptr;
    const json::value *const finished = in ? in->if_contains("finished") : nullptr;
    if (!number || !number->is_int64() || !finished || !finished->is_array())
        return {};
    numbered_wave_progress out{number->get_int64(), {}};
    const json::value *const deadline = in->if_contains("deadline_ms");
    if (deadline && deadline->is_int64() && deadline->get_int64() > 0)
        out.progress.deadlineUnix = std::chrono::milliseconds{deadline->get_int64()};
    for (const json::value &each : finished->get_array()) {
        if (each.is_string())
            out.progress.finished.emplace(each.get_string());
    }
    return out;
}

} // namespace azurelb
