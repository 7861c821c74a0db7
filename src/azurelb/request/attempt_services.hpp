#pragma once

#include <azurelb/activity/fwd.hpp>
#include <azurelb/config/fwd.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/share/fwd.hpp>
#include <azurelb/upstream/fwd.hpp>

#include <boost/asio/io_context.hpp>

namespace azurelb {

/** Services used by an attempt. They must outlive it. */
struct attempt_services
{
    boost::asio::io_context &loop;
    const clock_source &clock;
    slot_service &slots;
    connection_pool &connections;
    activity_recorder &activity;
    const document_source &documents;
};

} // namespace azurelb
