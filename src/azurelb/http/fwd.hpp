#pragma once

#include <functional>

namespace azurelb {

enum class http_progress;
struct http_outcome;
struct http_timeouts;
class http_client;

using http_handler = std::function<void(http_outcome &&)>;

namespace internal {

class http_connection;

} // namespace internal

} // namespace azurelb
