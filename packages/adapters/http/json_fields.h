/** @file json_fields.h Reads members of JSON that a back end sent. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_JSON_FIELDS_H
#define JACINTHPOND_ADAPTERS_HTTP_JSON_FIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace jacinthpond {

/**
 * Reads a text.
 * @param Value An object.
 * @param Key Name of the member.
 * @return The text; empty when there is none or it is something else.
 */
inline std::string textOf(const nlohmann::json &Value, const char *Key) {
  const auto it = Value.find(Key);
  return it != Value.end() && it->is_string() ? it->get<std::string>() : "";
}

/**
 * Reads a whole number.
 * @param Value An object.
 * @param Key Name of the member.
 * @return The number; 0 when there is none or it is something else.
 */
inline uint64_t numberOf(const nlohmann::json &Value, const char *Key) {
  const auto it = Value.find(Key);
  return it != Value.end() && it->is_number_unsigned() ? it->get<uint64_t>()
                                                       : 0;
}

/**
 * Reads a truth value.
 * @param Value An object.
 * @param Key Name of the member.
 * @return The value; false when there is none or it is something else.
 */
inline bool flagOf(const nlohmann::json &Value, const char *Key) {
  const auto it = Value.find(Key);
  return it != Value.end() && it->is_boolean() && it->get<bool>();
}

} // namespace jacinthpond

#endif
