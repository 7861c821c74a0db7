#pragma once

#include <functional>

namespace azurelb {

enum class store_error;
struct store_reply;
class store;
class etcd_store;
struct etcd_options;

using store_handler = std::function<void(const store_reply &)>;

namespace internal {

struct etcd_call;

} // namespace internal

} // namespace azurelb
