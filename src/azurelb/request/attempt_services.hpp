#pragma once

#include <azurelb/activity/fwd.hpp>
#include <azurelb/config/fwd.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/share/fwd.hpp>
#include <azurelb/upstream/fwd.hpp>

#include <boost/asio/io_context.hpp>

namespace azurelb {

/** What an attempt works with. All of it outlives the attempt. */
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
