#include <azurelb/config/internal/store_keys.hpp>

#include <iomanip>
#include <sstream>

namespace azurelb::internal {

std::uint64_t toUnixMilliseconds(wall_time time) noexcept
{
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return since.count() > 0 ? static_cast<std::uint64_t>(since.count()) : 0;
}

std::string auditKey(wall_time time, std::string_view id)
{
    constexpr int timeDigits{20};
    std::ostringstream key;
    key << auditPrefix << std::setw(timeDigits) << std::setfill('0') << toUnixMilliseconds(time);
    if (!id.empty())
        key << '/' << id;
    return key.str();
}

std::string markerKey(std::string_view changeId)
{
    return std::string{markerPrefix} + std::string{changeId};
}

std::string endOfPrefix(std::string_view prefix)
{
    std::string end{prefix};
    ++end.back();
    return end;
}

void addRevisionCondition(wire::etcd::txn_request &transaction, std::string_view key, revision at)
{
    wire::etcd::compare &compare = *transaction.add_compare();
    compare.set_key(std::string{key});
    compare.set_target(wire::etcd::compare::MOD);
    compare.set_result(wire::etcd::compare::EQUAL);
    compare.set_mod_revision(static_cast<std::int64_t>(at));
}

wire::etcd::range_request &addRange(operation_list &list, std::string_view key)
{
    wire::etcd::range_request &range = *list.Add()->mutable_request_range();
    range.set_key(std::string{key});
    return range;
}

void addPut(operation_list &list, std::string_view key, std::string value)
{
    wire::etcd::put_request &put = *list.Add()->mutable_request_put();
    put.set_key(std::string{key});
    put.set_value(std::move(value));
}

void addDelete(operation_list &list, std::string_view key, std::string_view end)
{
    wire::etcd::delete_range_request &range = *list.Add()->mutable_request_delete_range();
    range.set_key(std::string{key});
    range.set_range_end(std::string{end});
}

const wire::etcd::key_value *firstKeyValue(const wire::etcd::txn_response &response, int operation)
{
    if (operation >= response.responses_size())
        return nullptr;
    const wire::etcd::range_response &range = response.responses(operation).response_range();
    return range.kvs_size() > 0 ? &range.kvs(0) : nullptr;
}

} // namespace azurelb::internal
