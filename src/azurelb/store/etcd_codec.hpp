#pragma once

#include <azurelb/http/http_outcome.hpp>
#include <azurelb/store/etcd_call.hpp>
#include <azurelb/store/store_reply.hpp>

#include <string>

namespace azurelb::internal {

/** The transaction in protobuf's JSON mapping, which the gateway reads. */
[[nodiscard]] std::string encodeTransaction(const wire::etcd::txn_request &transaction);

/** What an HTTP exchange tells of the transaction that it carried. */
[[nodiscard]] store_reply decodeReply(const etcd_call &call, const http_outcome &outcome);

} // namespace azurelb::internal
