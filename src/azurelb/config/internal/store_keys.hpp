#pragma once

#include <azurelb/config/fwd.hpp>
#include <azurelb/core/fwd.hpp>
#include <azurelb/wire/etcd.pb.h>

#include <string>
#include <string_view>

namespace azurelb::internal {

/** Keys of the documents in the store. */
constexpr std::string_view configKey{"/azurelb/config"};
constexpr std::string_view fleetKey{"/azurelb/fleet"};

/** Prefix of audit records, which are keyed by commit time and id. */
constexpr std::string_view auditPrefix{"/azurelb/audit/"};

/** Prefix of the markers of committed changes, which are keyed by change id. */
constexpr std::string_view markerPrefix{"/azurelb/change/"};

[[nodiscard]] std::uint64_t toUnixMilliseconds(wall_time time) noexcept;

/** Key of an audit record. Without an id, audit records older than the time sort before the key. */
[[nodiscard]] std::string auditKey(wall_time time, std::string_view id = {});

[[nodiscard]] std::string markerKey(std::string_view changeId);

/** The first key after all that begin with the prefix. Precondition: the prefix is not empty. */
[[nodiscard]] std::string endOfPrefix(std::string_view prefix);

using operation_list = google::protobuf::RepeatedPtrField<wire::etcd::request_op>;

/**
 * Adds the condition that the key was last written at that revision; 0 means that it does not
 * exist.
 */
void addRevisionCondition(wire::etcd::txn_request &transaction, std::string_view key, revision at);

wire::etcd::range_request &addRange(operation_list &list, std::string_view key);
void addPut(operation_list &list, std::string_view key, std::string value);
void addDelete(operation_list &list, std::string_view key, std::string_view end = {});

/** First key-value pair of the range response with that index; null if there is none. */
[[nodiscard]] const wire::etcd::key_value *firstKeyValue(const wire::etcd::txn_response &response,
                                                         int operation);

} // namespace azurelb::internal
