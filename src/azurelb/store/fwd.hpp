#pragma once

#include <functional>

namespace azurelb {

enum class store_error;
struct store_reply;
class store;
class etcd_store;

using store_handler = std::function<void(const store_reply &)>;

} // namespace azurelb
