#pragma once

#include <functional>

namespace azurelb {

enum class http_progress;
enum class run_state;
struct http_limits;
struct http_outcome;
struct http_timeouts;
struct problem;
class http_client;
class http_server;
class http_session;

using http_handler = std::function<void(http_outcome &&)>;

namespace internal {

class http_connection;

} // namespace internal

} // namespace azurelb
