#pragma once

#include <azurelb/wire/config.pb.h>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string_view>

namespace azurelb::internal {

/** Bytes that a document may have: the store holds values up to one megabyte. */
constexpr std::size_t maxDocumentBytes{900'000};

/** Waves that a document may hold. */
constexpr int maxWaves{64};

/** Orders to move a VM that a document keeps; the oldest go first. */
constexpr int maxMoveOrders{1024};

using check_result = boost::leaf::result<void>;

/** Fails with an invalid change_failure of that text unless the condition holds. */
[[nodiscard]] check_result require(bool condition, std::string_view field, std::string_view value,
                                   std::string_view allowed);

/** A name of 1 to 63 characters out of a to z, 0 to 9 and the hyphen. */
[[nodiscard]] check_result checkName(std::string_view field, std::string_view name);

/** A name that the platform gave: 1 to 128 letters, digits, '-', '_', '.', ':' or '@'. */
[[nodiscard]] check_result checkPlatformName(std::string_view field, std::string_view name);

[[nodiscard]] check_result checkRange(std::string_view field, std::uint64_t value,
                                      std::uint64_t least, std::uint64_t most);

/** Checks the values of one entity, and what it refers to. */
[[nodiscard]] check_result check(const wire::config_document &document, const wire::pool &pool);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::queue &queue);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::team &team);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::team_key &key);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::wave &wave);
[[nodiscard]] check_result check(const wire::config_document &document,
                                 const wire::move_order &order);
[[nodiscard]] check_result check(const wire::config_document &document,
                                 const wire::preference &preference);

/** Fails if other entities still refer to the one of that name. */
[[nodiscard]] check_result checkUnusedPool(const wire::config_document &document,
                                           const std::string &name);
[[nodiscard]] check_result checkUnusedTeam(const wire::config_document &document,
                                           const std::string &name);

/** Checks the fields that every change has. */
[[nodiscard]] check_result checkCommonFields(const wire::change &change);

} // namespace azurelb::internal
