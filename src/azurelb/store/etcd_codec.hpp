#pragma once

#include <azurelb/http/http_outcome.hpp>
#include <azurelb/store/etcd_call.hpp>
#include <azurelb/store/store_reply.hpp>

#include <string>

namespace azurelb::internal {

/** Encodes the transaction in the JSON mapping of protobuf, which the gateway accepts. */
[[nodiscard]] std::string encodeTransaction(const wire::etcd::txn_request &transaction);

/** Decodes the reply to a call from the outcome of its HTTP exchange. */
[[nodiscard]] store_reply decodeReply(const etcd_call &call, const http_outcome &outcome);

} // namespace azurelb::internal
