/** @file json_fields.h Tolerant reading of members of JSON objects. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_JSON_FIELDS_H
#define JACINTHPOND_ADAPTERS_HTTP_JSON_FIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace jacinthpond {

/**
 * Gives a string member.
 * @param Value An object.
 * @param Key Name of the member.
 * @return The string; empty when the member is missing or of another type.
 */
inline std::string textOf(const nlohmann::json &Value, const char *Key) {
  const auto it = Value.find(Key);
  return it != Value.end() && it->is_string() ? it->get<std::string>() : "";
}

/**
 * Gives an unsigned integer member.
 * @param Value An object.
 * @param Key Name of the member.
 * @return The number; 0 when the member is missing or of another type.
 */
inline uint64_t numberOf(const nlohmann::json &Value, const char *Key) {
  const auto it = Value.find(Key);
  return it != Value.end() && it->is_number_unsigned() ? it->get<uint64_t>()
                                                       : 0;
}

/**
 * Gives a boolean member.
 * @param Value An object.
 * @param Key Name of the member.
 * @return The value; false when the member is missing or of another type.
 */
inline bool flagOf(const nlohmann::json &Value, const char *Key) {
  const auto it = Value.find(Key);
  return it != Value.end() && it->is_boolean() && it->get<bool>();
}

} // namespace jacinthpond

#endif
