#include <azurelb/admission/load_forecast.hpp>

#include <boost/json.hpp>

#include <cmath>
#include <exception>

namespace azurelb {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

load_forecast read(const json::object &in)
{
    load_forecast forecast;
    forecast.number = in.at("number").to_number<std::int64_t>();
    for (const json::value &each : in.at("pools").as_array()) {
        const json::array &row = each.as_array();
        pool_forecast pool{std::string{row.at(0).as_string()},
                           milliseconds{row.at(1).to_number<std::int64_t>()},
                           row.at(2).to_number<double>(), row.at(3).to_number<double>()};
        if (pool.drain.count() >= 0 && pool.cores >= 0 && pool.admitted >= 0 && pool.admitted <= 1)
            forecast.pools.push_back(std::move(pool));
    }
    return forecast;
}

} // namespace

std::string encode(const load_forecast &forecast)
{
    json::array pools;
    for (const pool_forecast &each : forecast.pools)
        pools.push_back(
            json::array{each.pool, each.drain.count(), std::round(each.cores), each.admitted});
    return json::serialize(json::object{{"number", forecast.number}, {"pools", std::move(pools)}});
}

std::optional<load_forecast> decodeForecast(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    try {
        return read(parsed.get_object());
    } catch (const std::exception &) {
        // Boost.JSON throws on a missing or mistyped member.
        return std::nullopt;
    }
}

} // namespace azurelb
