#pragma once

#include <azurelb/admission/admission_control.hpp>
#include <azurelb/keyspace/prefix_watcher.hpp>

#include <boost/asio/io_context.hpp>

namespace azurelb {

/** Watches the owner's forecast in the store and passes it to the admission control. */
class forecast_reader
{
public:
    forecast_reader(boost::asio::io_context &loop, keyspace &store, admission_control &to);

    void start() { m_watcher.start(); }

private:
    void applyItem(const keyspace_item &item);

    admission_control &m_admission;
    prefix_watcher m_watcher;
};

} // namespace azurelb
