#include "caller_load.hpp"

#include <algorithm>

namespace azurelb::test {

namespace {

constexpr unsigned ok{200};

} // namespace

caller_load::caller_load(const running_fleet &fleet, std::size_t callers,
                         request_factory makeRequest, std::size_t maxRequests)
    : m_fleet{fleet}
    , m_makeRequest{std::move(makeRequest)}
    , m_maxRequests{maxRequests}
    , m_servedBy(fleet.size())
{
    for (std::size_t index = 0; index < callers; ++index)
        m_callers.emplace_back([this, index] { runCaller(index % m_fleet.size()); });
}

caller_load::~caller_load()
{
    stop();
}

bool caller_load::waitForServed(std::size_t more) const
{
    const std::size_t wanted = m_served + more;
    return eventually([&] { return m_served >= wanted; });
}

bool caller_load::waitForServed(std::size_t more, std::size_t daemon) const
{
    const std::size_t wanted = served(daemon) + more;
    return eventually([&] { return served(daemon) >= wanted; });
}

caller_load::record_list caller_load::stop()
{
    m_stopped = true;
    return finish();
}

caller_load::record_list caller_load::finish()
{
    for (std::thread &each : m_callers)
        each.join();
    m_callers.clear();
    const std::lock_guard lock{m_mutex};
    return m_records;
}

void caller_load::runCaller(std::size_t first)
{
    constexpr std::chrono::milliseconds pause{5};
    std::size_t daemon = first;
    caller_client client{m_fleet.callerAddress(daemon)};
    const auto switchToNextDaemon = [&] {
        daemon = (daemon + 1) % m_fleet.size();
        client.close();
        client.setServer(m_fleet.callerAddress(daemon));
    };
    for (std::size_t number = m_next++; !m_stopped && number < m_maxRequests; number = m_next++) {
        load_record record{m_makeRequest(number), {}, daemon, std::chrono::steady_clock::now()};
        record.answer = client.send(record.request);
        while (record.answer.progress == call_progress::not_connected && !m_stopped) {
            std::this_thread::sleep_for(pause);
            switchToNextDaemon();
            record.daemon = daemon;
            record.answer = client.send(record.request);
        }
        if (record.answer.progress != call_progress::answered
            || !record.answer.response.keep_alive())
            switchToNextDaemon();
        addRecord(std::move(record));
    }
}

void caller_load::addRecord(load_record record)
{
    if (record.answer.status() == ok) {
        ++m_served;
        ++m_servedBy[record.daemon];
    }
    const std::lock_guard lock{m_mutex};
    m_records.push_back(std::move(record));
}

} // namespace azurelb::test
