/** @file json_reader.h Reads and validates values of JSON objects and collects
 * errors.
 *
 * Used for published documents and for settings, so that both report errors in
 * the same form: path, found value, allowed values.
 */

#ifndef JACINTHPOND_CORE_JSON_READER_H
#define JACINTHPOND_CORE_JSON_READER_H

#include "base/error_func.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthpond {

/** Collects all validation errors of one text. */
struct ValidationErrors {
  std::vector<std::string> Lines; ///< One error each.

  /**
   * Adds an error.
   * @param Path Path of the value, such as "workers[2].agent".
   * @param Found Description of the invalid value.
   * @param Allowed Description of the allowed values.
   */
  void add(const std::string &Path, const std::string &Found,
           const std::string &Allowed);

  /**
   * Joins the errors to one text.
   * @return One line for each error.
   */
  std::string joinErrors() const;
};

/** Longest text in what people write, in bytes. */
constexpr size_t MaxTextBytes = 256;

/**
 * Parses JSON with comments. Errors give the position, but never quote the
 * text, which may hold secrets.
 * @param Text Untrusted input.
 * @param What Name of the text in the error.
 * @param Kind Error kind.
 * @param Duplicates Receives each key that occurs more than once in one object;
 *   null: duplicates are not collected.
 * @return The value, or an error if the text is not JSON (with the position) or
 *   its nesting is too deep.
 */
Result<nlohmann::json> parseJson(std::string_view Text, const std::string &What,
                                 ErrorKind Kind,
                                 std::set<std::string> *Duplicates = nullptr);

/**
 * Checks whether a text is a SHA-256 digest.
 * @param Text The text.
 * @return True for 64 lower-case hex digits.
 */
bool isDigest(std::string_view Text);

/**
 * Reads the members of one JSON object. An invalid value adds an error and
 * reads as the default, except for an address.
 */
class ObjectReader {
public:
  /**
   * Opens an object; any other value adds an error.
   * @param Value The JSON value.
   * @param ObjectPath Path of the object; empty for the root.
   * @param Into Receives the errors.
   * @param LongestText Longest text allowed in it, in bytes.
   */
  ObjectReader(const nlohmann::json &Value, std::string ObjectPath,
               ValidationErrors &Into, size_t LongestText = MaxTextBytes);

  /**
   * Reads a text.
   * @param Key Name of the member.
   * @param Required Whether absence is an error.
   * @param Default Value if absent.
   * @return The text.
   */
  std::string readText(const char *Key, bool Required,
                       const std::string &Default = "");

  /**
   * Reads a SHA-256 digest. Errors never quote the value, since it may be a
   * secret token that was entered in place of its digest.
   * @param Key Name of the member; absence is an error.
   * @return The digest in lower-case hex; empty on error.
   */
  std::string readDigest(const char *Key);

  /**
   * Reads "IP:port" with a port above 0.
   * @param Key Name of the member; absence is an error.
   * @return The address; on error the text as given, or empty if it is no text.
   */
  std::string readAddress(const char *Key);

  /**
   * Reads an integer.
   * @param Key Name of the member.
   * @param Required Whether absence is an error.
   * @param Default Value if absent.
   * @param Min Smallest value allowed.
   * @param Max Largest value allowed.
   * @return The number.
   */
  int64_t readInteger(const char *Key, bool Required, int64_t Default,
                      int64_t Min, int64_t Max);

  /**
   * Reads a floating-point number.
   * @param Key Name of the member.
   * @param Default Value if absent.
   * @param Min Smallest value allowed.
   * @param Max Largest value allowed.
   * @return The number.
   */
  double readNumber(const char *Key, double Default, double Min, double Max);

  /**
   * Reads a boolean.
   * @param Key Name of the member.
   * @param Default Value if absent.
   * @return The value.
   */
  bool readBool(const char *Key, bool Default);

  /**
   * Reads a list of texts.
   * @param Key Name of the member; absent means empty.
   * @return The texts.
   */
  std::vector<std::string> readTextList(const char *Key);

  /**
   * Reads a list of texts that are secrets, such as keys. Errors never quote
   * them.
   * @param Key Name of the member; absent means empty.
   * @return The texts.
   */
  std::vector<std::string> readSecretList(const char *Key);

  /**
   * Returns the elements of a list.
   * @param Key Name of the member; absent means empty.
   * @param Max Longest list allowed.
   * @return The elements, pointers into the JSON value.
   */
  std::vector<const nlohmann::json *> listElements(const char *Key,
                                                   size_t Max = SIZE_MAX);

  /**
   * Returns the value of a member, of any type, for an ObjectReader of its own.
   * @param Key Name of the member.
   * @return Pointer into the JSON value; null if absent.
   */
  const nlohmann::json *readMember(const char *Key);

  /**
   * Checks whether a member exists, with any value.
   * @param Key Name of the member.
   * @return True if it exists.
   */
  bool hasMember(const char *Key) const;

  /**
   * Returns the error list, for readers of nested objects.
   * @return The error list.
   */
  ValidationErrors &errorList() { return *Errors; }

  /** Adds an error for each member that has not been read, with the most
   * similar known name. */
  void rejectUnknownKeys();

  /**
   * Adds an error for a member.
   * @param Key Name of the member.
   * @param Found Description of the invalid value.
   * @param Allowed Description of the allowed values.
   */
  void addError(const char *Key, const std::string &Found,
                const std::string &Allowed);

  /**
   * Returns the path of a member.
   * @param Key Name of the member.
   * @return Path from the root, such as "workers[2].agent".
   */
  std::string memberPath(std::string_view Key) const;

private:
  /** Looks up a member and marks its name as known; adds an error if it is
   * required and absent. */
  const nlohmann::json *lookUpMember(const char *Key, bool Required,
                                     const char *Allowed);

  /** Reads a list of texts; Quote gives what errors say of another element. */
  std::vector<std::string>
  readTexts(const char *Key,
            const std::function<std::string(const nlohmann::json &)> &Quote);

  /** Checks that a text is short enough and has no control characters. */
  bool isSafeText(const nlohmann::json &Value) const;

  const nlohmann::json *Object;   ///< Null if the value is not an object.
  std::string Path;               ///< Path of the object.
  ValidationErrors *Errors;       ///< Receives the errors.
  size_t LongestText;             ///< Longest text allowed, in bytes.
  std::vector<std::string> Known; ///< Names of the members read so far.
};

/**
 * Finds the known name most similar to a mistyped one.
 * @param Wrong The mistyped name.
 * @param Names The known names.
 * @return The name with the smallest edit distance; empty if none is similar.
 */
std::string nearestName(std::string_view Wrong,
                        const std::vector<std::string> &Names);

} // namespace jacinthpond

#endif
