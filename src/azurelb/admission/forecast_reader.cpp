#include <azurelb/admission/forecast_reader.hpp>
#include <azurelb/control/store_keys.hpp>
#include <azurelb/keyspace/keyspace_item.hpp>
#include <azurelb/log/log.hpp>

#include <utility>

namespace azurelb {

namespace {

/** The forecast changes only under load, so the watch usually waits for its whole time. */
constexpr std::chrono::milliseconds watchTimeout{5000};

} // namespace

forecast_reader::forecast_reader(boost::asio::io_context &loop, keyspace &store,
                                 admission_control &to)
    : m_admission{to}
    , m_watcher{loop, store, std::string{store_keys::forecast}, watchTimeout,
                [this](const keyspace_item &item) {
                    applyItem(item);
                }}
{ }

void forecast_reader::applyItem(const keyspace_item &item)
{
    std::optional<load_forecast> forecast =
        item.removed ? load_forecast{} : decodeForecast(item.value);
    if (!forecast) {
        logEvent(event::stored_value_damaged, {{"key", item.key}});
        return;
    }
    m_admission.applyForecast(std::move(*forecast), boot_clock::now());
}

} // namespace azurelb
