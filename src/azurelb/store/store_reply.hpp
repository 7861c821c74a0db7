#pragma once

#include <azurelb/store/store_error.hpp>

#include <azurelb/wire/etcd.pb.h>

namespace azurelb {

/** Outcome of a store call. The response is valid only if error is none. */
struct store_reply
{
    store_error error{store_error::none};
    wire::etcd::txn_response response{};
};

} // namespace azurelb
