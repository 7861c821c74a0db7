#pragma once

#include <azurelb/wire/config.pb.h>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string_view>

namespace azurelb::internal {

/** Maximum size of a serialised document; the store accepts values up to one megabyte. */
constexpr std::size_t maxDocumentBytes{900'000};

/** Maximum number of waves in a document. */
constexpr int maxWaves{64};

/** Maximum number of VM move orders in a document; the oldest are removed first. */
constexpr int maxMoveOrders{1024};

using check_result = boost::leaf::result<void>;

/**
 * Fails with change_error::invalid and a detail made of field, value and allowed values unless the
 * condition holds.
 */
[[nodiscard]] check_result require(bool condition, std::string_view field, std::string_view value,
                                   std::string_view allowed);

/** A name of 1 to 63 characters out of a to z, 0 to 9 and the hyphen. */
[[nodiscard]] check_result checkName(std::string_view field, std::string_view name);

/** A name assigned by the platform: 1 to 128 letters, digits, '-', '_', '.', ':' or '@'. */
[[nodiscard]] check_result checkPlatformName(std::string_view field, std::string_view name);

[[nodiscard]] check_result checkRange(std::string_view field, std::uint64_t value,
                                      std::uint64_t least, std::uint64_t most);

/** Checks the values of one entity and its references. */
[[nodiscard]] check_result check(const wire::config_document &document, const wire::pool &pool);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::queue &queue);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::team &team);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::team_key &key);
[[nodiscard]] check_result check(const wire::config_document &document, const wire::wave &wave);
[[nodiscard]] check_result check(const wire::config_document &document,
                                 const wire::move_order &order);
[[nodiscard]] check_result check(const wire::config_document &document,
                                 const wire::preference &preference);

/** Fails if other entities still refer to the entity of that name. */
[[nodiscard]] check_result checkUnusedPool(const wire::config_document &document,
                                           const std::string &name);
[[nodiscard]] check_result checkUnusedTeam(const wire::config_document &document,
                                           const std::string &name);

/** Checks the fields common to all changes. */
[[nodiscard]] check_result checkCommonFields(const wire::change &change);

} // namespace azurelb::internal
